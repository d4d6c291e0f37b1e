use crate::outcome::RefusalReason;

use super::CallReply;

/// What happened to an idempotent call that was handed over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryEvent {
    /// An endpoint replied.
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
    /// The endpoint's reply was lost.
    ReplyLost,
}
