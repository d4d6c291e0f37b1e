use crate::ident::AccountName;

use super::account_state::AccountState;
use super::service_estimate::ServiceEstimate;

/// The scheduling states of the accounts in an admission queue.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountTable {
    /// Sorted by account name.
    states: Vec<AccountState>,
}

impl AccountTable {
    /// Returns the state of `account`, inserting an empty one if there is none.
    pub(super) fn entry(&mut self, account: &AccountName) -> &mut AccountState {
        let index = match self.index(account) {
            Ok(index) => index,
            Err(index) => {
                let state = AccountState {
                    account: account.clone(),
                    finish_tag: 0,
                    running: 0,
                    waiting: 0,
                    estimate: None,
                };
                self.states.insert(index, state);
                index
            }
        };
        &mut self.states[index]
    }

    /// Returns the number of running items of `account`.
    pub(super) fn running(&self, account: &AccountName) -> u32 {
        self.get(account).map_or(0, |state| state.running)
    }

    /// Returns the service times of the items of `account`, if one of them has completed.
    pub(super) fn estimate(&self, account: &AccountName) -> Option<ServiceEstimate> {
        self.get(account)?.estimate
    }

    /// Returns the number of accounts with running or waiting items.
    pub(super) fn active_count(&self) -> u32 {
        let is_active = |state: &&AccountState| state.running + state.waiting > 0;
        self.states.iter().filter(is_active).count() as u32
    }

    /// Removes `account` if it has no items and its finish tag is not ahead of the virtual time.
    pub(super) fn remove_if_idle(&mut self, account: &AccountName, virtual_time: u64) {
        if let Ok(index) = self.index(account) {
            let state = &self.states[index];
            if state.running == 0 && state.waiting == 0 && state.finish_tag <= virtual_time {
                self.states.remove(index);
            }
        }
    }

    fn get(&self, account: &AccountName) -> Option<&AccountState> {
        let index = self.index(account).ok()?;
        Some(&self.states[index])
    }

    fn index(&self, account: &AccountName) -> Result<usize, usize> {
        self.states
            .binary_search_by(|state| state.account.cmp(account))
    }
}
