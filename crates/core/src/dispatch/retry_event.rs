use crate::outcome::RefusalReason;

use super::CallReply;

/// An input to a [`RetryMachine`](super::RetryMachine): the result of forwarding a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryEvent {
    /// An endpoint replied.
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
    /// The endpoint's reply was lost.
    ReplyLost,
}
