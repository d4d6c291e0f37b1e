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

struct LimitTables {
    config: Arc<ConfigState>,
    members: Arc<MemberTable>,
    limiter: AccountLimiter,
    budget: RetryBudget,
}

/// The limits of client accounts and the retry budget of an entry.
pub struct EntryLimits {
    tables: Mutex<LimitTables>,
}

impl EntryLimits {
    /// Creates limits without accounts and with the default retry budget.
    pub fn new() -> EntryLimits {
        EntryLimits {
            tables: Mutex::new(LimitTables {
                config: Arc::default(),
                members: Arc::default(),
                limiter: AccountLimiter::new(),
                budget: RetryBudget::default(),
            }),
        }
    }

    /// Counts a request and takes its work units from the limit of its account.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which the units are available at this entry.
    pub fn take(
        &self,
        config: &Arc<ConfigState>,
        members: &Arc<MemberTable>,
        account: &AccountName,
        units: u64,
        now: MilliTime,
    ) -> Result<(), u64> {
        let mut tables = self.tables();
        tables.refresh(config, members, now);
        tables.limiter.take(account, units, now)?;
        tables.budget.credit_request();
        Ok(())
    }

    /// Takes a retry after a refusal from the budget; returns false when it is spent.
    pub fn try_retry(&self) -> bool {
        self.tables().budget.try_retry()
    }

    fn tables(&self) -> MutexGuard<'_, LimitTables> {
        self.tables
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

impl Default for EntryLimits {
    fn default() -> EntryLimits {
        EntryLimits::new()
    }
}

impl LimitTables {
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
