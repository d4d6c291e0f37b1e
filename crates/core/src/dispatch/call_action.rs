use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;
use crate::time::MilliTime;

use super::RowChange;
use super::RowKey;

/// What the entry has to do for a call that is not idempotent.
///
/// Each action but `Record`, `Answer` and `Refuse` is answered by one
/// [`CallEvent`](super::CallEvent).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallAction {
    /// Read a row; answered by `RowRead` or `ReadFailed`.
    ReadRow(RowKey),
    /// Commit a change; answered by `CommitEnded`.
    Commit(RowChange),
    /// Commit a change without waiting for the result.
    Record(RowChange),
    /// Hand the attempt to an endpoint that this request has not tried; answered by `Replied`,
    /// `ForwardDenied`, `ForwardUnsent` or `ReplyLost`.
    Forward(RowKey),
    /// Ask the runner of a dispatched row over a new connection if need be; answered by
    /// `RunnerQueried`.
    QueryRunner {
        /// The row.
        key: RowKey,
        /// The internal address of the runner's process.
        address: String,
        /// The incarnation of the runner's process.
        incarnation: u64,
    },
    /// Ask the service for the outcome of the key; answered by `ServiceQueried`.
    QueryService,
    /// Read a body from the object store; answered by `BodyRead`.
    ReadBody(String),
    /// Wait; answered by `WaitElapsed`.
    Wait {
        /// The time to wait for.
        until: MilliTime,
    },
    /// Answer the caller; the last action.
    Answer {
        /// The HTTP status of the service.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body.
        body: String,
        /// Whether the answer comes from the record of an earlier call.
        replayed: bool,
    },
    /// Refuse the call; the last action.
    Refuse {
        /// What is known about the call.
        outcome: RequestOutcome,
        /// Why there is no answer.
        reason: RefusalReason,
        /// The time after which a retry can succeed, in milliseconds.
        retry_after_ms: u64,
    },
}
