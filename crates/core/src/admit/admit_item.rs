use crate::ident::AccountName;
use crate::ident::RequestIdent;
use crate::time::MilliTime;

/// A request or call that asks an endpoint for admission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmitItem {
    /// The request.
    pub request: RequestIdent,
    /// The client account that pays for it.
    pub account: AccountName,
    /// The weight of the client account.
    pub weight: u32,
    /// The priority class: 0 is interactive, higher is served later.
    pub priority: u8,
    /// The work in work units.
    pub units: u64,
    /// The time by which the work must be finished.
    pub deadline: MilliTime,
    /// Whether the request may have crashed an endpoint before.
    pub is_suspect: bool,
}
