use crate::ident::AccountName;
use crate::ident::RequestIdent;
use crate::time::MilliTime;

/// A request or call that arrives at an endpoint's admission queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmitItem {
    /// The identifier of the request.
    pub request: RequestIdent,
    /// The client account that the work is charged to.
    pub account: AccountName,
    /// The weight of the client account.
    pub weight: u32,
    /// The priority class: 0 is interactive, higher classes are served later.
    pub priority: u8,
    /// The cost, in work units.
    pub units: u64,
    /// The deadline for completion.
    pub deadline: MilliTime,
    /// Whether the request is suspected of having crashed an endpoint.
    pub is_suspect: bool,
}
