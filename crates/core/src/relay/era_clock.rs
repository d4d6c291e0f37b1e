use crate::time::MilliTime;

use super::StoreVersion;

/// The time after the first sight of a new era in which rows of the store may be missing, in milliseconds.
///
/// Live engines and the operator write again within about two seconds what the copy lacks.
const SETTLE_MS: u64 = 2_000;

/// The same time for a process that has seen no era before, in milliseconds.
///
/// It may start in the moment of the return and holds nothing with which to compare what it reads, so it allows for a
/// late operator.
const FIRST_SETTLE_MS: u64 = 2_500;

/// The newest era of the store that a process has seen, and the time at which it saw it first.
///
/// The first era that a process sees may have begun right before its start, so rows may be missing then as well, unless
/// [`settle`](EraClock::settle) tells that the era has lasted.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::EraClock;
/// use dandelionroad_core::relay::StoreVersion;
/// use dandelionroad_core::time::MilliTime;
///
/// let mut clock = EraClock::new();
/// assert!(!clock.observe(StoreVersion::new(1, 530), MilliTime::from_millis(100)));
/// assert!(clock.is_settling(MilliTime::from_millis(100)));
/// // The store holds the note of a process that has seen this era for a while.
/// clock.settle(1);
/// assert!(!clock.is_settling(MilliTime::from_millis(100)));
/// assert!(clock.observe(StoreVersion::new(2, 412), MilliTime::from_millis(900)));
/// assert!(clock.is_settling(MilliTime::from_millis(2_800)));
/// assert!(!clock.is_settling(MilliTime::from_millis(2_900)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EraClock {
    /// A version of the newest era; `None` before the first answer.
    newest: Option<StoreVersion>,
    seen_at: MilliTime,
    settled_at: MilliTime,
    /// Whether the store has come back from an older copy since the first answer.
    has_returned: bool,
}

impl EraClock {
    /// Creates the clock of a process that has seen no era.
    pub fn new() -> EraClock {
        EraClock::default()
    }

    /// Records a version that the store or another process has named.
    ///
    /// Returns whether the store has come back from an older copy since the versions recorded before.
    pub fn observe(&mut self, version: StoreVersion, now: MilliTime) -> bool {
        let is_return = match self.newest {
            None => false,
            Some(newest) if version.is_of_later_era(newest) => true,
            Some(_) => return false,
        };
        self.newest = Some(version);
        self.seen_at = now;
        self.has_returned |= is_return;
        if is_return {
            self.settled_at = now.plus(SETTLE_MS);
        } else if version.names_era() {
            self.settled_at = now.plus(FIRST_SETTLE_MS);
        }
        is_return
    }

    /// Records that no rows of an era are missing, as a process has noted in the store in that era.
    pub fn settle(&mut self, era: u64) {
        if self.newest.is_some_and(|newest| newest.era() == era) {
            self.settled_at = MilliTime::default();
        }
    }

    /// Returns for how long no rows have been missing, in milliseconds.
    pub fn settled_ms(&self, now: MilliTime) -> u64 {
        now.since(self.settled_at)
    }

    /// Returns whether the newest era is the first one that was seen.
    pub fn is_first(&self) -> bool {
        !self.has_returned
    }

    /// Returns the first version that was seen of the newest era, if any.
    pub fn newest(&self) -> Option<StoreVersion> {
        self.newest
    }

    /// Returns the time at which the newest era was seen first.
    pub fn seen_at(&self) -> MilliTime {
        self.seen_at
    }

    /// Returns whether rows may be missing at `now`, as the store came back from an older copy shortly before.
    pub fn is_settling(&self, now: MilliTime) -> bool {
        now < self.settled_at
    }

    /// Returns for how long rows may still be missing, in milliseconds.
    pub fn settle_left_ms(&self, now: MilliTime) -> u64 {
        self.settled_at.since(now)
    }
}
