use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;
use crate::time::MilliTime;

use super::RowChange;
use super::RowKey;

/// An action that a [`CallMachine`](super::CallMachine) requests from the entry.
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
    /// Forward the attempt to an endpoint that this request has not tried; answered by `Replied`,
    /// `ForwardDenied`, `ForwardUnsent` or `ReplyLost`.
    Forward(RowKey),
    /// Query the process that runs a dispatched row, over a new connection if necessary; answered
    /// by `RunnerQueried`.
    QueryRunner {
        /// The key of the dispatched row.
        key: RowKey,
        /// The internal address of the runner's process.
        address: String,
        /// The incarnation of the runner's process.
        incarnation: u64,
    },
    /// Query the service for the outcome of the key; answered by `ServiceQueried`.
    QueryService,
    /// Read a body from the object store; answered by `BodyRead`.
    ReadBody(String),
    /// Wait; answered by `WaitElapsed`.
    Wait {
        /// The end of the wait.
        until: MilliTime,
    },
    /// Answer the caller; the final action.
    Answer {
        /// The HTTP status of the service.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body of the service's answer, as text.
        body: String,
        /// Whether the answer comes from the record of an earlier call.
        replayed: bool,
    },
    /// Refuse the call; the final action.
    Refuse {
        /// Whether the call ran, as far as the entry knows.
        outcome: RequestOutcome,
        /// The reason for the refusal.
        reason: RefusalReason,
        /// The time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
}
