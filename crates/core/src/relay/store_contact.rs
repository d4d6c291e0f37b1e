use crate::time::MilliTime;

/// The time after the last answer of the store for which a process counts as reaching it, in milliseconds.
const REACHED_MS: u64 = 4_000;

/// The time for which a process that can't decode the configuration does not count as reaching the store, in
/// milliseconds.
///
/// It tries again within two seconds, so this is renewed as long as the fault lasts.
const UNREADABLE_MS: u64 = 4_000;

/// When the store answered the calls of a process, and when it did not.
///
/// All of it ages: a process that lets another one read the store calls it seldom, so what its last call met says
/// nothing later on. A read that is overdue counts as failed from then on, long before its time-out: what other processes
/// read meanwhile must not hide that the store was away.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::StoreContact;
/// use dandelionroad_core::time::MilliTime;
///
/// let time = MilliTime::from_millis;
/// let mut contact = StoreContact::new();
/// contact.record_answer(time(1_000));
/// assert!(contact.is_reached(time(1_100)));
/// contact.record_failure(time(1_200), time(1_300));
/// assert!(!contact.is_reached(time(1_300)));
/// contact.record_answer(time(1_400));
/// assert!(contact.is_reached(time(1_400)));
/// assert!(!contact.is_reached(time(5_400)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StoreContact {
    answered_at: Option<MilliTime>,
    /// The time at which the newest failed read was found to have failed.
    failed_at: Option<MilliTime>,
    /// The start of the newest failed read.
    failed_start: Option<MilliTime>,
    unreadable_at: Option<MilliTime>,
    /// The start of each read in progress, and the time from which it is overdue.
    pending: Vec<(MilliTime, MilliTime)>,
}

impl StoreContact {
    /// Creates the state of a process that has not called the store.
    pub fn new() -> StoreContact {
        StoreContact::default()
    }

    /// Records the start of a read that is overdue from `due` on.
    pub fn begin_read(&mut self, start: MilliTime, due: MilliTime) {
        self.pending.push((start, due));
    }

    /// Records that the read that [`begin_read`](StoreContact::begin_read) recorded with these times is no longer in
    /// progress, whether it was answered or not.
    ///
    /// Reads that start in the same millisecond are told apart by when they are overdue.
    pub fn end_read(&mut self, start: MilliTime, due: MilliTime) {
        let mut pending = self.pending.iter();
        if let Some(index) = pending.position(|read| *read == (start, due)) {
            self.pending.swap_remove(index);
        }
    }

    /// Records an answer to any call.
    pub fn record_answer(&mut self, now: MilliTime) {
        self.answered_at = self.answered_at.max(Some(now));
    }

    /// Records that a read that started at `start` got no answer with rows.
    pub fn record_failure(&mut self, start: MilliTime, now: MilliTime) {
        self.failed_at = self.failed_at.max(Some(now));
        self.failed_start = self.failed_start.max(Some(start));
    }

    /// Records that the configuration in an answer can't be decoded.
    pub fn record_unreadable(&mut self, now: MilliTime) {
        self.unreadable_at = self.unreadable_at.max(Some(now));
    }

    /// Returns the start of the newest read that has failed or is overdue at `now`, if any.
    pub fn failed_start(&self, now: MilliTime) -> Option<MilliTime> {
        let overdue = self.pending.iter().filter(|(_, due)| *due <= now);
        let newest = overdue.map(|(start, _)| *start).max();
        self.failed_start.max(newest)
    }

    /// Returns whether this process can read the store for the others.
    pub fn is_reached(&self, now: MilliTime) -> bool {
        let is_recent = |answered| now.since(answered) < REACHED_MS;
        self.answered_at.is_some_and(is_recent)
            && self.failed_at <= self.answered_at
            && !self.is_unreadable(now)
    }

    /// Returns whether this process could not decode the configuration shortly before.
    pub fn is_unreadable(&self, now: MilliTime) -> bool {
        self.unreadable_at
            .is_some_and(|at| now.since(at) < UNREADABLE_MS)
    }
}
