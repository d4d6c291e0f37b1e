use crate::time::MilliTime;

/// How long ago the held configuration was known to be the newest one.
///
/// A key that was taken away must stop working at a process that is cut off from the store or was
/// suspended. The times have to come from a clock that counts suspension.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::ConfigAge;
/// use dandelionroad_core::time::MilliTime;
///
/// let mut age = ConfigAge::new(4_000);
/// assert!(!age.is_fresh(MilliTime::from_millis(0)));
/// age.confirm(MilliTime::from_millis(100));
/// assert!(age.is_fresh(MilliTime::from_millis(4_000)));
/// assert!(!age.is_fresh(MilliTime::from_millis(4_100)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ConfigAge {
    limit_ms: u64,
    confirmed: Option<MilliTime>,
}

impl ConfigAge {
    /// Creates the age of a configuration that was never confirmed.
    pub fn new(limit_ms: u64) -> ConfigAge {
        ConfigAge {
            limit_ms,
            confirmed: None,
        }
    }

    /// Sets the age from which on requests with keys are refused.
    pub fn set_limit(&mut self, limit_ms: u64) {
        self.limit_ms = limit_ms;
    }

    /// Takes the start of a read that found the held configuration to be the newest.
    pub fn confirm(&mut self, read_start: MilliTime) {
        self.confirmed = self.confirmed.max(Some(read_start));
    }

    /// Returns the age in milliseconds; none before the first confirmation.
    pub fn age_ms(&self, now: MilliTime) -> Option<u64> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether requests with keys may be admitted.
    pub fn is_fresh(&self, now: MilliTime) -> bool {
        self.age_ms(now).is_some_and(|age| age < self.limit_ms)
    }
}
