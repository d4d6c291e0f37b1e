use crate::ident::RequestIdent;
use crate::outcome::RefusalReason;

/// The refusal of a request that was never started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmitRefusal {
    /// The request.
    pub request: RequestIdent,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// The time after which a retry can succeed, in milliseconds.
    pub retry_after_ms: u64,
}
