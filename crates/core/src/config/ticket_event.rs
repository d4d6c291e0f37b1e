use std::sync::Arc;

use super::ConfigState;
use super::StoredRow;

/// The result of a [`TicketAction`](super::TicketAction).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketEvent {
    /// The rows were read; those that do not exist are omitted.
    RowsRead(Vec<StoredRow>),
    /// The rows or the configuration could not be read.
    ReadFailed,
    /// The configuration was read from the table service.
    CaughtUp(Arc<ConfigState>),
    /// The commit took effect.
    Committed,
    /// A check of the commit failed, so that it had no effect.
    CommitConflicted,
    /// The commit could not be sent, so that it had no effect.
    CommitUnsent,
    /// The answer to the commit was lost; the commit may have taken effect.
    CommitLost,
}
