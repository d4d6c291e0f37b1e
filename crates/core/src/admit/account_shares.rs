use crate::ident::AccountName;

use super::account_share::AccountShare;
use super::pace_estimate::PaceEstimate;

/// The accounts with work in a queue, sorted by name.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountShares {
    shares: Vec<AccountShare>,
}

impl AccountShares {
    /// Returns the state of `account`, creating it if there is none.
    pub(super) fn entry(&mut self, account: &AccountName) -> &mut AccountShare {
        let index = match self.index(account) {
            Ok(index) => index,
            Err(index) => {
                let share = AccountShare {
                    account: account.clone(),
                    finish_tag: 0,
                    running: 0,
                    waiting: 0,
                    pace: None,
                };
                self.shares.insert(index, share);
                index
            }
        };
        &mut self.shares[index]
    }

    /// Returns the number of running items of `account`.
    pub(super) fn running(&self, account: &AccountName) -> u32 {
        self.get(account).map_or(0, |share| share.running)
    }

    /// Returns how fast the items of `account` progress, if it is known.
    pub(super) fn pace(&self, account: &AccountName) -> Option<PaceEstimate> {
        self.get(account)?.pace
    }

    /// Returns the number of accounts with running or waiting items.
    pub(super) fn active(&self) -> u32 {
        let is_active = |share: &&AccountShare| share.running + share.waiting > 0;
        self.shares.iter().filter(is_active).count() as u32
    }

    /// Forgets `account` if it has no work and no tag ahead of the virtual time.
    pub(super) fn trim(&mut self, account: &AccountName, virtual_time: u64) {
        if let Ok(index) = self.index(account) {
            let share = &self.shares[index];
            if share.running == 0 && share.waiting == 0 && share.finish_tag <= virtual_time {
                self.shares.remove(index);
            }
        }
    }

    fn get(&self, account: &AccountName) -> Option<&AccountShare> {
        let index = self.index(account).ok()?;
        Some(&self.shares[index])
    }

    fn index(&self, account: &AccountName) -> Result<usize, usize> {
        self.shares
            .binary_search_by(|known| known.account.cmp(account))
    }
}
