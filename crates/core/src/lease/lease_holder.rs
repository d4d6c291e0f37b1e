use crate::relay::StoreVersion;
use crate::time::MilliTime;

use super::LeaseRow;
use super::LeaseStep;

/// A process that holds or wants a lease.
///
/// The row carries the expiry in the store's monotonic time. The holder measures the validity of
/// its lease on its own clock, which includes time in suspension, from the start of the read before
/// the acknowledged write. It therefore stops acting as the holder before another process can
/// acquire the lease.
///
/// A store that comes back from an older copy may have lost the row that was written last. The holder
/// is then known only to itself, so all other processes wait for the length of a lease from the time at
/// which they first see the new era; see [`enter_era`](LeaseHolder::enter_era).
///
/// # Example
///
/// ```
/// use dandelionroad_core::lease::LeaseHolder;
/// use dandelionroad_core::lease::LeaseStep;
/// use dandelionroad_core::time::MilliTime;
///
/// let mut holder = LeaseHolder::new("entry-1", 6_000);
/// let LeaseStep::Write(row) = holder.next_step(None, 500, MilliTime::from_millis(100)) else {
///     panic!("a free lease must be acquired");
/// };
/// holder.record_write(&row, MilliTime::from_millis(100));
/// assert!(holder.is_held(MilliTime::from_millis(200)));
/// assert!(!holder.is_held(MilliTime::from_millis(6_000)));
/// ```
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    /// The name without the era.
    base_name: String,
    /// The name in rows, which contains the era.
    name: String,
    length_ms: u64,
    /// A version of the era of the store that the rows belong to; `None` before the first read.
    version: Option<StoreVersion>,
    /// The time until which only the holder by its own clock writes the row.
    wait_until: MilliTime,
    /// The highest term that was seen.
    term: u64,
    /// The term of the held lease and the local time until which it is valid.
    held: Option<(u64, MilliTime)>,
}

/// The safety margin before the expiry of a lease is the lease length divided by this number.
///
/// Within the margin the holder no longer relies on the lease.
const SAFETY_MARGIN_DIVISOR: u64 = 5;

/// The time by which the expiry of a valid row may exceed that of a row which is written now, in milliseconds.
///
/// The store's answers pass each other, so that a row may be read in an answer with an earlier time.
const CLOCK_SLACK_MS: u64 = 1_000;

impl LeaseHolder {
    /// Creates a process that holds no lease; leases that it writes expire after `length_ms`.
    pub fn new(name: &str, length_ms: u64) -> LeaseHolder {
        LeaseHolder {
            base_name: name.to_owned(),
            name: name.to_owned(),
            length_ms,
            version: None,
            wait_until: MilliTime::default(),
            term: 0,
            held: None,
        }
    }

    /// Records the version at which the row is read; its era was first seen at `seen_at`.
    ///
    /// In a new era, and in a named era that is the first one seen, another process may rely on a lease whose row the
    /// store has lost. Only a process that holds the lease by its own clock writes the row at once.
    pub fn enter_era(&mut self, version: StoreVersion, seen_at: MilliTime) {
        let is_known = self
            .version
            .is_some_and(|known| version.is_of_same_era(known));
        if is_known {
            return;
        }
        self.version = Some(version);
        if version.names_era() {
            // The row that this process wrote in an earlier era counts as another's.
            self.name = format!("{}/{}", self.base_name, version.era());
            self.wait_until = seen_at.plus(self.length_ms);
        }
    }

    /// Returns the next action at `now` after `row` was read at the store's time `store_ms`.
    pub fn next_step(
        &mut self,
        row: Option<&LeaseRow>,
        store_ms: u64,
        now: MilliTime,
    ) -> LeaseStep {
        let until_ms = store_ms + self.length_ms;
        self.term = self.term.max(row.map_or(0, |row| row.term));
        let is_own = row.is_some_and(|row| row.holder == self.name);
        let is_valid = row.is_some_and(|row| {
            // A row that expires later than any that is written now is of a clock that has been set back.
            let is_of_clock = row.until_ms <= until_ms + CLOCK_SLACK_MS;
            row.until_ms > store_ms && (is_of_clock || !self.names_era())
        });
        let may_acquire = match now < self.wait_until {
            true => self.is_held(now),
            false => !is_valid,
        };
        if !is_own && !may_acquire {
            return LeaseStep::Wait;
        }
        let term = match (is_own, row) {
            (true, Some(row)) => row.term,
            _ => self.term + 1,
        };
        LeaseStep::Write(LeaseRow {
            holder: self.name.clone(),
            term,
            until_ms,
        })
    }

    /// Records an acknowledged write of `row`, based on a read that started at `read_start`.
    pub fn record_write(&mut self, row: &LeaseRow, read_start: MilliTime) {
        let usable_ms = self.length_ms - self.length_ms / SAFETY_MARGIN_DIVISOR;
        self.term = self.term.max(row.term);
        self.held = Some((row.term, read_start.plus(usable_ms)));
    }

    /// Records that another process holds the lease.
    pub fn record_loss(&mut self) {
        self.held = None;
    }

    /// Returns whether the lease is held at `now` and the safety margin has not begun.
    pub fn is_held(&self, now: MilliTime) -> bool {
        self.held.is_some_and(|(_, until)| now < until)
    }

    fn names_era(&self) -> bool {
        self.version.is_some_and(StoreVersion::names_era)
    }

    /// Returns the term of the lease if it is held at `now`.
    pub fn term(&self, now: MilliTime) -> Option<u64> {
        let (term, until) = self.held?;
        (now < until).then_some(term)
    }
}
