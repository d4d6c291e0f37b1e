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
/// # Example
///
/// ```
/// use dandelionroad_core::lease::LeaseHolder;
/// use dandelionroad_core::lease::LeaseStep;
/// use dandelionroad_core::time::MilliTime;
///
/// let mut holder = LeaseHolder::new("entry-1", 6_000);
/// let LeaseStep::Write(row) = holder.next_step(None, 500) else {
///     panic!("a free lease must be acquired");
/// };
/// holder.record_write(&row, MilliTime::from_millis(100));
/// assert!(holder.is_held(MilliTime::from_millis(200)));
/// assert!(!holder.is_held(MilliTime::from_millis(6_000)));
/// ```
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    name: String,
    length_ms: u64,
    /// The term of the held lease and the local time until which it is valid.
    held: Option<(u64, MilliTime)>,
}

/// The safety margin before the expiry of a lease is the lease length divided by this number.
///
/// Within the margin the holder no longer relies on the lease.
const SAFETY_MARGIN_DIVISOR: u64 = 5;

impl LeaseHolder {
    /// Creates a process that holds no lease; leases that it writes expire after `length_ms`.
    pub fn new(name: &str, length_ms: u64) -> LeaseHolder {
        LeaseHolder {
            name: name.to_owned(),
            length_ms,
            held: None,
        }
    }

    /// Returns the next action after `row` was read at the store's time `store_ms`.
    pub fn next_step(&self, row: Option<&LeaseRow>, store_ms: u64) -> LeaseStep {
        let term = row.map_or(0, |row| row.term);
        let until_ms = store_ms + self.length_ms;
        match row {
            Some(row) if row.holder == self.name => LeaseStep::Write(LeaseRow {
                holder: self.name.clone(),
                term,
                until_ms,
            }),
            Some(row) if row.until_ms > store_ms => LeaseStep::Wait,
            _ => LeaseStep::Write(LeaseRow {
                holder: self.name.clone(),
                term: term + 1,
                until_ms,
            }),
        }
    }

    /// Records an acknowledged write of `row`, based on a read that started at `read_start`.
    pub fn record_write(&mut self, row: &LeaseRow, read_start: MilliTime) {
        let usable_ms = self.length_ms - self.length_ms / SAFETY_MARGIN_DIVISOR;
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

    /// Returns the term of the lease if it is held at `now`.
    pub fn term(&self, now: MilliTime) -> Option<u64> {
        let (term, until) = self.held?;
        (now < until).then_some(term)
    }
}
