use crate::ident::AccountName;

use super::pace_estimate::PaceEstimate;

/// The state of a client account in an admission queue.
#[derive(Clone, Debug)]
pub(super) struct AccountShare {
    pub(super) account: AccountName,
    /// The virtual time up to which the account has asked for work.
    pub(super) finish_tag: u64,
    /// The number of running items.
    pub(super) running: u32,
    /// The number of waiting items.
    pub(super) waiting: u32,
    /// How fast the account's own items progress, once one was completed.
    pub(super) pace: Option<PaceEstimate>,
}
