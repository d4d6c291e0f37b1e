use super::CommitResult;
use super::ServiceResult;
use super::VersionedRow;

/// An input to a [`DispatchMachine`](super::DispatchMachine) from the endpoint's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatchEvent {
    /// The row was read; `None` if it is absent.
    RowRead(Option<VersionedRow>),
    /// The row could not be read.
    ReadFailed,
    /// A commit ended.
    CommitEnded(CommitResult),
    /// The call to the service ended.
    ServiceEnded(ServiceResult),
    /// The body was stored; false if that failed.
    BodyStored(bool),
    /// The wait has ended.
    WaitElapsed,
    /// The deadline of the request has passed; raised once, in any step.
    DeadlinePassed,
}
