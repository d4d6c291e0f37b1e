use super::CommitPlan;
use super::TicketVerdict;

/// What is to be done next for a submitted ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketAction {
    /// Read rows after a delay.
    ReadRows {
        /// The keys.
        keys: Vec<String>,
        /// The delay in milliseconds.
        delay_ms: u64,
    },
    /// Read the configuration from the table service, at least up to `revision`.
    CatchUp {
        /// The revision.
        revision: u64,
    },
    /// Commit the plan.
    Commit(CommitPlan),
    /// Answer the operator.
    Finish(TicketVerdict),
}
