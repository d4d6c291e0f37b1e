use crate::outcome::RefusalReason;

use super::CallReply;
use super::CallState;
use super::CommitResult;
use super::ServiceResult;
use super::VersionedRow;

/// What happened in the entry during a call that is not idempotent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEvent {
    /// The row was read; `None` if it is absent.
    RowRead(Option<VersionedRow>),
    /// The row could not be read.
    ReadFailed,
    /// A commit ended.
    CommitEnded(CommitResult),
    /// An endpoint replied to the hand-over.
    Replied(CallReply),
    /// No endpoint may be tried; nothing was sent.
    ForwardDenied {
        /// Why.
        reason: RefusalReason,
        /// The time after which a retry can succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The endpoint could not be reached; nothing was sent.
    ForwardUnsent,
    /// The endpoint's reply was lost; it may run the attempt.
    ReplyLost,
    /// The runner told the state of the attempt, or `None` if it could not be reached.
    RunnerQueried(Option<CallState>),
    /// The service told the outcome of the key (`Answered`), or did not.
    ServiceQueried(ServiceResult),
    /// The body was read, or not.
    BodyRead(Option<String>),
    /// The time to wait for has come.
    WaitElapsed,
}
