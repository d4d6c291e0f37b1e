use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;

/// An action that a [`RetryMachine`](super::RetryMachine) requests from the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryAction {
    /// Forward the call to an endpoint that this request has not tried.
    Forward,
    /// Answer the caller; the final action.
    Answer {
        /// The HTTP status of the service.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body of the service's answer, as text.
        body: String,
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
