use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelionroad_core::admit::AccountLimiter;
use dandelionroad_core::admit::RetryBudget;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::member::MemberRole;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::time::MilliTime;

struct LimitState {
    config: Arc<ConfigState>,
    members: Arc<MemberTable>,
    limiter: AccountLimiter,
    budget: RetryBudget,
}

/// The rate limits of client accounts and the retry budget of an entry.
///
/// The limit of an account is divided by the number of live entries, so that each entry enforces
/// its share without coordination.
pub struct EntryLimits {
    state: Mutex<LimitState>,
}

impl EntryLimits {
    /// Creates limits without accounts and with the default retry budget.
    pub fn new() -> EntryLimits {
        EntryLimits {
            state: Mutex::new(LimitState {
                config: Arc::default(),
                members: Arc::default(),
                limiter: AccountLimiter::new(),
                budget: RetryBudget::default(),
            }),
        }
    }

    /// Takes the work units of a request from the limit of its account, and credits the retry
    /// budget for the request.
    ///
    /// # Errors
    ///
    /// Returns the time after which the units are available at this entry, in milliseconds, if the
    /// limit does not allow the request now.
    pub fn take(
        &self,
        config: &Arc<ConfigState>,
        members: &Arc<MemberTable>,
        account: &AccountName,
        units: u64,
        now: MilliTime,
    ) -> Result<(), u64> {
        let mut state = self.state();
        state.refresh(config, members, now);
        state.limiter.take(account, units, now)?;
        state.budget.credit_request();
        Ok(())
    }

    /// Takes one retry of a refused request from the retry budget; returns false if the budget is
    /// spent.
    pub fn take_retry(&self) -> bool {
        self.state().budget.take_retry()
    }

    fn state(&self) -> MutexGuard<'_, LimitState> {
        self.state
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

impl Default for EntryLimits {
    fn default() -> EntryLimits {
        EntryLimits::new()
    }
}

impl LimitState {
    fn refresh(&mut self, config: &Arc<ConfigState>, members: &Arc<MemberTable>, now: MilliTime) {
        if !Arc::ptr_eq(&self.members, members) {
            let entries = members.live(MemberRole::Entry).count();
            self.limiter.set_entries(entries);
            self.members = members.clone();
        }
        if !Arc::ptr_eq(&self.config, config) {
            for account in &config.accounts {
                let rate = account.units_per_second;
                let burst = account.burst_units;
                self.limiter.set_account(&account.name, rate, burst, now);
            }
            self.limiter.retain(|name| config.account(name).is_some());
            self.config = config.clone();
        }
    }
}
