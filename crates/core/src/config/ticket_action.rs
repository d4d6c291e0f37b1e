use super::CommitPlan;
use super::TicketVerdict;

/// An action that [`TicketMachine`](super::TicketMachine) asks its driver to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketAction {
    /// Read rows after a delay.
    ReadRows {
        /// The keys of the rows.
        keys: Vec<String>,
        /// The delay in milliseconds.
        delay_ms: u64,
    },
    /// Read the configuration from the table service up to `revision` or a later one.
    CatchUp {
        /// The minimum revision to read.
        revision: u64,
    },
    /// Commit the plan to the table service.
    Commit(CommitPlan),
    /// Report the verdict to the operator; the machine has finished.
    Finish(TicketVerdict),
}
