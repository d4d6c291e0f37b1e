use crate::route::mix_seed;
use crate::time::MilliTime;

/// The maximum length of a pause, in milliseconds.
///
/// A longer one is taken for a mistake of the engine, which would otherwise get no work until it restarts.
const MAX_PAUSE_MS: u64 = 3_600_000;

/// The part of a pause by which its end is at most delayed at random, as a divisor.
const SPREAD_DIVISOR: u64 = 4;

/// The maximum random delay of the end of a pause, in milliseconds.
const MAX_SPREAD_MS: u64 = 2_000;

/// The maximum number of engines that are kept; the one that was heard longest ago is dropped first.
const MAX_ENGINES: usize = 4_096;

/// The time after its last notice for which an engine is kept, in milliseconds; it has ended by then.
const RETENTION_MS: u64 = 2 * MAX_PAUSE_MS;

/// What one incarnation of an engine has said in its answers.
#[derive(Clone, Debug)]
struct EngineNotice {
    incarnation: String,
    is_leaving: bool,
    paused_until: MilliTime,
    heard_at: MilliTime,
}

/// The engines that have said in their answers that they leave, or that they want no requests for a time.
///
/// This is a state of an incarnation of an engine, and no row of the list of engines changes it: a row may lag, lapse
/// or be absent while the store is down. Another engine at the same address begins without it.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::EngineAvailability;
/// use dandelionroad_core::time::MilliTime;
///
/// let now = MilliTime::from_millis(1_000);
/// let mut availability = EngineAvailability::new();
/// assert!(availability.record_leaving("e1@5", now));
/// assert!(!availability.record_leaving("e1@5", now), "it is known");
/// assert!(availability.is_leaving("e1@5"));
/// assert!(!availability.is_leaving("e1@9"), "the engine was started again");
/// let end = availability.record_pause("e2@5", 2_000, 7, now).unwrap();
/// assert!(end >= now.plus(2_000));
/// // An earlier end changes nothing.
/// assert_eq!(availability.record_pause("e2@5", 100, 7, now), None);
/// assert_eq!(availability.paused_until("e2@5"), end);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EngineAvailability {
    /// Sorted by incarnation.
    notices: Vec<EngineNotice>,
}

impl EngineAvailability {
    /// Creates the state before any engine was heard.
    pub fn new() -> EngineAvailability {
        EngineAvailability::default()
    }

    /// Records that an engine leaves; returns whether this is new.
    pub fn record_leaving(&mut self, incarnation: &str, now: MilliTime) -> bool {
        let notice = self.notice_mut(incarnation, now);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that an engine wants no requests for `pause_ms` milliseconds; returns the end of the pause if it is
    /// later than the known one.
    ///
    /// The end is delayed by a random time from `seed`, so that not all processes come back in one moment.
    pub fn record_pause(
        &mut self,
        incarnation: &str,
        pause_ms: u64,
        seed: u64,
        now: MilliTime,
    ) -> Option<MilliTime> {
        let pause_ms = pause_ms.min(MAX_PAUSE_MS);
        if pause_ms == 0 {
            return None;
        }
        let max_spread_ms = (pause_ms / SPREAD_DIVISOR).min(MAX_SPREAD_MS);
        let end = now.plus(pause_ms + mix_seed(seed) % (max_spread_ms + 1));
        let notice = self.notice_mut(incarnation, now);
        if end <= notice.paused_until {
            return None;
        }
        notice.paused_until = end;
        Some(end)
    }

    /// Returns whether an engine has said that it leaves.
    pub fn is_leaving(&self, incarnation: &str) -> bool {
        self.notice(incarnation)
            .is_some_and(|notice| notice.is_leaving)
    }

    /// Returns the end of an engine's pause, which may have passed; the beginning of time if there was none.
    pub fn paused_until(&self, incarnation: &str) -> MilliTime {
        self.notice(incarnation)
            .map_or(MilliTime::default(), |notice| notice.paused_until)
    }

    /// Drops what an incarnation has said, as it has ended.
    pub fn remove(&mut self, incarnation: &str) {
        if let Ok(index) = self.position(incarnation) {
            self.notices.remove(index);
        }
    }

    /// Drops engines whose pause has ended, unless they leave, and engines that have not been heard for long.
    pub fn expire(&mut self, now: MilliTime) {
        self.notices.retain(|notice| {
            let counts = notice.is_leaving || notice.paused_until > now;
            counts && now.since(notice.heard_at) <= RETENTION_MS
        });
    }

    /// Returns the number of engines that leave or pause.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// Returns whether no engine leaves or pauses.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    fn notice(&self, incarnation: &str) -> Option<&EngineNotice> {
        let index = self.position(incarnation).ok()?;
        Some(&self.notices[index])
    }

    fn notice_mut(&mut self, incarnation: &str, now: MilliTime) -> &mut EngineNotice {
        if self.position(incarnation).is_err() && self.notices.len() >= MAX_ENGINES {
            self.drop_oldest();
        }
        let index = self.position(incarnation).unwrap_or_else(|index| {
            let notice = EngineNotice {
                incarnation: incarnation.to_owned(),
                is_leaving: false,
                paused_until: MilliTime::default(),
                heard_at: now,
            };
            self.notices.insert(index, notice);
            index
        });
        let notice = &mut self.notices[index];
        notice.heard_at = now;
        notice
    }

    fn drop_oldest(&mut self) {
        let notices = self.notices.iter().enumerate();
        let oldest = notices.min_by_key(|(_, notice)| notice.heard_at);
        if let Some((index, _)) = oldest {
            self.notices.remove(index);
        }
    }

    fn position(&self, incarnation: &str) -> Result<usize, usize> {
        self.notices
            .binary_search_by(|notice| notice.incarnation.as_str().cmp(incarnation))
    }
}
