use crate::time::MilliTime;

/// The time since the held configuration was last confirmed to be the newest one.
///
/// A process that is cut off from the store or was suspended does not learn that a key was revoked,
/// so requests with keys are refused once the age reaches a limit. The times have to come from a
/// clock that counts suspension.
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
    /// Creates the age of a configuration that was never confirmed, with a limit in milliseconds.
    pub fn new(limit_ms: u64) -> ConfigAge {
        ConfigAge {
            limit_ms,
            confirmed: None,
        }
    }

    /// Sets the age in milliseconds from which on requests with keys are refused.
    pub fn set_limit(&mut self, limit_ms: u64) {
        self.limit_ms = limit_ms;
    }

    /// Records that a read which started at `read_start` found the held configuration to be the
    /// newest.
    ///
    /// The answer of an earlier read than the recorded one is ignored. The origin of the clock stands for an unknown time
    /// and confirms nothing: shortly after the start of a host, it would look recent.
    pub fn confirm(&mut self, read_start: MilliTime) {
        if read_start > MilliTime::default() {
            self.confirmed = self.confirmed.max(Some(read_start));
        }
    }

    /// Returns the time of the newest confirmation, if any.
    pub fn confirmed_at(&self) -> Option<MilliTime> {
        self.confirmed
    }

    /// Returns the age in milliseconds, or `None` before the first confirmation.
    pub fn age_ms(&self, now: MilliTime) -> Option<u64> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether the configuration is recent enough to admit requests with keys.
    pub fn is_fresh(&self, now: MilliTime) -> bool {
        self.age_ms(now).is_some_and(|age| age < self.limit_ms)
    }
}
