use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;

/// The failure of a request whose answer is not complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamFailure {
    /// Whether the request ran, as far as the entry knows.
    pub outcome: RequestOutcome,
    /// Why the entry ended the request.
    pub reason: RefusalReason,
    /// The time after which a retry can succeed, in milliseconds.
    pub retry_after_ms: u64,
}
