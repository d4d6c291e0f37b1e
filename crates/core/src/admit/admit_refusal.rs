use crate::ident::RequestIdent;
use crate::outcome::RefusalReason;

/// The refusal of an item that was never started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmitRefusal {
    /// The identifier of the request.
    pub request: RequestIdent,
    /// The reason for the refusal.
    pub reason: RefusalReason,
    /// The delay after which a retry may succeed, in milliseconds.
    pub retry_after_ms: u64,
}
