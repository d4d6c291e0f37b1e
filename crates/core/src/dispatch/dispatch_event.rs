use super::CommitResult;
use super::ServiceResult;
use super::VersionedRow;

/// What happened in the endpoint's process during a call that is not idempotent.
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
    /// The body was stored, or not.
    BodyStored(bool),
    /// The time to wait for has come.
    WaitElapsed,
    /// The deadline of the request has come; raised once, whatever else goes on.
    DeadlinePassed,
}
