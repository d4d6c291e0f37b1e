use std::sync::Arc;

use super::ConfigState;
use super::StoredRow;

/// The result of what a [`TicketAction`](super::TicketAction) asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketEvent {
    /// The rows that exist among those asked for.
    RowsRead(Vec<StoredRow>),
    /// The rows, or the configuration, could not be read.
    ReadFailed,
    /// The configuration as it was read from the table service.
    CaughtUp(Arc<ConfigState>),
    /// The commit took effect.
    Committed,
    /// A check of the commit failed, and it had no effect.
    CommitConflicted,
    /// The commit was not sent.
    CommitUnsent,
    /// The answer to the commit was lost, so that it may have taken effect.
    CommitLost,
}
