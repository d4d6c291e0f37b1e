use crate::ident::AccountName;

use super::account_share::AccountShare;

/// The accounts with work in a queue, sorted by name.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountShares {
    shares: Vec<AccountShare>,
}

impl AccountShares {
    /// Returns the state of `account`, creating it if there is none.
    pub(super) fn entry(&mut self, account: &AccountName) -> &mut AccountShare {
        let index = match self
            .shares
            .binary_search_by(|known| known.account.cmp(account))
        {
            Ok(index) => index,
            Err(index) => {
                let share = AccountShare {
                    account: account.clone(),
                    finish_tag: 0,
                    running: 0,
                    waiting: 0,
                };
                self.shares.insert(index, share);
                index
            }
        };
        &mut self.shares[index]
    }

    /// Returns the number of running items of `account`.
    pub(super) fn running(&self, account: &AccountName) -> u32 {
        self.shares
            .binary_search_by(|known| known.account.cmp(account))
            .map_or(0, |index| self.shares[index].running)
    }

    /// Forgets `account` if it has no work and no tag ahead of the virtual time.
    pub(super) fn trim(&mut self, account: &AccountName, virtual_time: u64) {
        if let Ok(index) = self
            .shares
            .binary_search_by(|known| known.account.cmp(account))
        {
            let share = &self.shares[index];
            if share.running == 0 && share.waiting == 0 && share.finish_tag <= virtual_time {
                self.shares.remove(index);
            }
        }
    }
}
