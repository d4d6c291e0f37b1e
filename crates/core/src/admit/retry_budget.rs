use crate::route::mix_seed;

/// The first delay before a retry, in milliseconds; doubled for each further one.
const BASE_DELAY_MS: u64 = 10;

/// The greatest delay before a retry, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;

/// A limit of retries to a share of the requests.
///
/// Without it, retries multiply the load just when endpoints refuse work.
///
/// # Example
///
/// ```
/// use dandelionroad_core::admit::RetryBudget;
///
/// let mut budget = RetryBudget::new(20, 1);
/// assert!(budget.try_retry());
/// assert!(!budget.try_retry());
/// for _ in 0..5 {
///     budget.credit_request();
/// }
/// assert!(budget.try_retry());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    burst: u64,
    /// In hundredths of a retry.
    level: u64,
}

impl RetryBudget {
    /// The default share of retries in the requests, in percent.
    pub const DEFAULT_PERCENT: u32 = 20;

    /// The default number of retries that are available without preceding requests.
    pub const DEFAULT_BURST: u32 = 20;

    /// Creates a budget of `percent` of the requests that starts with `burst` retries and saves
    /// up no more than these.
    pub fn new(percent: u32, burst: u32) -> RetryBudget {
        RetryBudget {
            percent: u64::from(percent),
            burst: u64::from(burst) * 100,
            level: u64::from(burst) * 100,
        }
    }

    /// Creates a budget that starts without saved retries.
    ///
    /// A process that starts does not know what its earlier run has used. If each start gave `burst`
    /// retries, processes that are killed together would use what they share twice.
    pub fn empty(percent: u32, burst: u32) -> RetryBudget {
        RetryBudget {
            level: 0,
            ..RetryBudget::new(percent, burst)
        }
    }

    /// Sets the number of retries that are saved up at most, when what is shared among several
    /// processes is divided anew.
    ///
    /// A larger number gives no retries at once: it would give them again each time that a process is
    /// lost from sight and comes back.
    pub fn set_burst(&mut self, burst: u32) {
        self.burst = u64::from(burst) * 100;
        self.level = self.level.min(self.burst);
    }

    /// Sets the share of retries in the requests.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Counts a first attempt.
    pub fn credit_request(&mut self) {
        self.level = (self.level + self.percent).min(self.burst);
    }

    /// Takes a retry from the budget; returns false when it is spent.
    pub fn try_retry(&mut self) -> bool {
        if self.level < 100 {
            return false;
        }
        self.level -= 100;
        true
    }

    /// Returns the delay before retry number `retry` (from 0), in milliseconds, with full jitter.
    pub fn delay_ms(retry: u32, seed: u64) -> u64 {
        let limit = BASE_DELAY_MS
            .saturating_mul(1 << retry.min(16))
            .min(MAX_DELAY_MS);
        mix_seed(seed) % (limit + 1)
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(RetryBudget::DEFAULT_PERCENT, RetryBudget::DEFAULT_BURST)
    }
}
