use crate::route::mix_seed;

/// The maximum delay before the first retry, in milliseconds; doubles with each further retry.
const BASE_DELAY_MS: u64 = 10;

/// The cap on the maximum delay before any retry, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;

/// A limit on retries, as a share of the requests.
///
/// Without it, retries multiply the load while endpoints are already refusing work.
///
/// # Example
///
/// ```
/// use dandelionroad_core::admit::RetryBudget;
///
/// let mut budget = RetryBudget::new(20, 1);
/// assert!(budget.take_retry());
/// assert!(!budget.take_retry());
/// for _ in 0..5 {
///     budget.credit_request();
/// }
/// assert!(budget.take_retry());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u64,
    /// The maximum of `level`, in hundredths of a retry.
    burst: u64,
    /// The available retries, in hundredths of a retry.
    level: u64,
}

impl RetryBudget {
    /// The default number of retries per 100 requests.
    pub const DEFAULT_PERCENT: u32 = 20;

    /// The default number of retries available without preceding requests.
    pub const DEFAULT_BURST: u32 = 20;

    /// Creates a full budget that gains `percent` retries per 100 requests and holds at most `burst`
    /// retries.
    pub fn new(percent: u32, burst: u32) -> RetryBudget {
        RetryBudget {
            percent: u64::from(percent),
            burst: u64::from(burst) * 100,
            level: u64::from(burst) * 100,
        }
    }

    /// Creates an empty budget.
    ///
    /// A restarted process does not know what its previous run spent. If each start granted `burst`
    /// retries, processes that are killed together would spend their common budget twice.
    pub fn empty(percent: u32, burst: u32) -> RetryBudget {
        RetryBudget {
            level: 0,
            ..RetryBudget::new(percent, burst)
        }
    }

    /// Sets the maximum number of saved retries, when a common budget is redistributed among processes.
    ///
    /// A higher maximum adds no retries. Otherwise they would be granted again each time a process
    /// counts as lost and is seen again.
    pub fn set_burst(&mut self, burst: u32) {
        self.burst = u64::from(burst) * 100;
        self.level = self.level.min(self.burst);
    }

    /// Sets the number of retries gained per 100 requests.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Adds the share of a retry that a first attempt gains.
    pub fn credit_request(&mut self) {
        self.level = (self.level + self.percent).min(self.burst);
    }

    /// Takes one retry from the budget; returns false if none is available.
    pub fn take_retry(&mut self) -> bool {
        if self.level < 100 {
            return false;
        }
        self.level -= 100;
        true
    }

    /// Returns the delay before retry number `retry` (from 0), in milliseconds: exponential backoff with
    /// full jitter.
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
