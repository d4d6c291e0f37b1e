use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;

/// What the entry has to do for an idempotent call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RetryAction {
    /// Hand the call to an endpoint that this request has not tried.
    Forward,
    /// Answer the caller; the last action.
    Answer {
        /// The HTTP status of the service.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body.
        body: String,
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
