use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;

/// Why a request has no whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamFailure {
    /// What is known about the request.
    pub outcome: RequestOutcome,
    /// Why the entry gave up.
    pub reason: RefusalReason,
    /// The time after which a retry can succeed, in milliseconds.
    pub retry_after_ms: u64,
}
