use crate::ident::AccountName;

use super::service_estimate::ServiceEstimate;

/// The scheduling state of a client account in an admission queue.
#[derive(Clone, Debug)]
pub(super) struct AccountState {
    pub(super) account: AccountName,
    /// The virtual finish time of the account's queued work; its next item starts there or later.
    pub(super) finish_tag: u64,
    pub(super) running: u32,
    pub(super) waiting: u32,
    /// The service times of the account's own items; none until one has completed.
    pub(super) estimate: Option<ServiceEstimate>,
}
