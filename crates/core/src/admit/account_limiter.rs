use crate::ident::AccountName;
use crate::time::MilliTime;

/// The number of parts into which bucket levels divide a work unit.
///
/// A coarser scale rounds the refill of one millisecond at a low rate down to zero.
const LEVEL_SCALE: u64 = 1_000_000;

/// The token bucket of a client account.
#[derive(Clone, Debug)]
struct AccountBucket {
    account: AccountName,
    units_per_second: u64,
    burst_units: u64,
    /// The available work, in millionths of a work unit.
    level: u64,
    /// The time up to which `level` includes refills. Oversized work moves it into the future until
    /// the refills have made up for the excess.
    updated: MilliTime,
}

/// Rate limits for client accounts at one entry.
///
/// The limit of an account is divided equally among the live entries, because the load balancer
/// distributes callers evenly. Entries therefore exchange no messages about limits.
///
/// # Example
///
/// ```
/// use dandelionroad_core::admit::AccountLimiter;
/// use dandelionroad_core::ident::AccountName;
/// use dandelionroad_core::time::MilliTime;
///
/// let account = AccountName::parse("rope-works").unwrap();
/// let mut limiter = AccountLimiter::new();
/// limiter.set_entries(2);
/// let now = MilliTime::from_millis(0);
/// limiter.set_account(&account, 100, 400, now);
/// assert_eq!(limiter.take(&account, 200, now), Ok(()));
/// // This entry refills 50 units per second.
/// assert_eq!(limiter.take(&account, 50, now), Err(1_000));
/// assert_eq!(limiter.take(&account, 50, now.plus(1_000)), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct AccountLimiter {
    /// Sorted by account.
    buckets: Vec<AccountBucket>,
    entries: u64,
}

impl AccountLimiter {
    /// Creates a limiter for a single entry, without accounts.
    pub fn new() -> AccountLimiter {
        AccountLimiter {
            buckets: Vec::new(),
            entries: 1,
        }
    }

    /// Sets the number of live entries among which each limit is divided.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1) as u64;
    }

    /// Sets the total limit of an account over all entries; a new account starts with a full bucket.
    pub fn set_account(
        &mut self,
        account: &AccountName,
        units_per_second: u64,
        burst_units: u64,
        now: MilliTime,
    ) {
        match self.index(account) {
            Ok(index) => {
                self.refill(index, now);
                let bucket = &mut self.buckets[index];
                bucket.units_per_second = units_per_second;
                bucket.burst_units = burst_units;
            }
            Err(index) => {
                let bucket = AccountBucket {
                    account: account.clone(),
                    units_per_second,
                    burst_units,
                    level: full_level(burst_units, self.entries),
                    updated: now,
                };
                self.buckets.insert(index, bucket);
            }
        }
    }

    /// Removes the accounts for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&AccountName) -> bool) {
        self.buckets.retain(|bucket| is_kept(&bucket.account));
    }

    /// Charges `units` of work to an account.
    ///
    /// Work larger than the burst is admitted when the bucket is full, since it could never be
    /// admitted otherwise; the excess delays the next refill. An account that was never set has no
    /// limit.
    ///
    /// # Errors
    ///
    /// Returns the time after which the units are available, in milliseconds.
    pub fn take(&mut self, account: &AccountName, units: u64, now: MilliTime) -> Result<(), u64> {
        let Ok(index) = self.index(account) else {
            return Ok(());
        };
        self.refill(index, now);
        let entries = self.entries;
        let bucket = &mut self.buckets[index];
        let full = full_level(bucket.burst_units, entries);
        let needed = units.saturating_mul(LEVEL_SCALE);
        if bucket.level >= needed.min(full) {
            // The excess of oversized work delays the refill instead of making the level negative.
            let debt = needed.saturating_sub(bucket.level);
            bucket.level = bucket.level.saturating_sub(needed);
            let rate = level_per_ms(bucket.units_per_second, entries);
            bucket.updated = bucket.updated.plus(debt / rate);
            return Ok(());
        }
        let missing = needed.min(full) - bucket.level;
        let rate = level_per_ms(bucket.units_per_second, entries);
        let debt_ms = bucket.updated.since(now);
        Err(debt_ms + missing.div_ceil(rate))
    }

    fn index(&self, account: &AccountName) -> Result<usize, usize> {
        self.buckets
            .binary_search_by(|bucket| bucket.account.cmp(account))
    }

    fn refill(&mut self, index: usize, now: MilliTime) {
        let entries = self.entries;
        let bucket = &mut self.buckets[index];
        if now <= bucket.updated {
            return;
        }
        let full = full_level(bucket.burst_units, entries);
        let rate = level_per_ms(bucket.units_per_second, entries);
        let gained = now.since(bucket.updated).saturating_mul(rate);
        bucket.level = bucket.level.saturating_add(gained).min(full);
        bucket.updated = now;
    }
}

/// Returns the level of a full bucket.
fn full_level(burst_units: u64, entries: u64) -> u64 {
    burst_units.saturating_mul(LEVEL_SCALE) / entries
}

/// Returns the level that one millisecond refills; at least 1.
fn level_per_ms(units_per_second: u64, entries: u64) -> u64 {
    (units_per_second.saturating_mul(LEVEL_SCALE / 1_000) / entries).max(1)
}

impl Default for AccountLimiter {
    fn default() -> AccountLimiter {
        AccountLimiter::new()
    }
}
