use crate::outcome::RefusalReason;

use super::CallReply;
use super::CallState;
use super::CommitResult;
use super::ServiceResult;
use super::VersionedRow;

/// An input to a [`CallMachine`](super::CallMachine) from the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEvent {
    /// The row was read; `None` if it is absent.
    RowRead(Option<VersionedRow>),
    /// The row could not be read.
    ReadFailed,
    /// A commit ended.
    CommitEnded(CommitResult),
    /// An endpoint replied to the forwarded attempt.
    Replied(CallReply),
    /// No endpoint is available; nothing was sent.
    ForwardDenied {
        /// Why no endpoint is available.
        reason: RefusalReason,
        /// The time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The endpoint could not be reached; nothing was sent.
    ForwardUnsent,
    /// The endpoint's reply was lost; it may run the attempt.
    ReplyLost,
    /// The runner reported the state of the attempt; `None` if it could not be reached.
    RunnerQueried(Option<CallState>),
    /// The service reported the outcome of the key (`Answered`), or did not.
    ServiceQueried(ServiceResult),
    /// The body was read; `None` if the read failed.
    BodyRead(Option<String>),
    /// The wait has ended.
    WaitElapsed,
}
