use crate::time::MilliTime;

use super::LeaseRow;
use super::LeaseStep;

/// A process that holds or wants a lease.
///
/// The row carries the store's steady time. The holder measures its own time on a clock that counts
/// suspension, from before the write that was acknowledged, so that it stops before another process
/// can start.
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
///     panic!("a free lease is taken");
/// };
/// holder.record_write(&row, MilliTime::from_millis(100));
/// assert!(holder.is_held(MilliTime::from_millis(200)));
/// assert!(!holder.is_held(MilliTime::from_millis(6_000)));
/// ```
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    name: String,
    length_ms: u64,
    /// The term of the held lease and the time until which it may be used.
    held: Option<(u64, MilliTime)>,
}

/// The part of a lease's length in which its holder no longer relies on it, as a divisor.
const GUARD_DIVISOR: u64 = 5;

impl LeaseHolder {
    /// Creates a holder of no lease; `length_ms` is the time for which a lease is written.
    pub fn new(name: &str, length_ms: u64) -> LeaseHolder {
        LeaseHolder {
            name: name.to_owned(),
            length_ms,
            held: None,
        }
    }

    /// Decides what to do after the row was read at the store's time `store_ms`.
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

    /// Takes the acknowledgement of a write whose read was begun at `read_start`.
    pub fn record_write(&mut self, row: &LeaseRow, read_start: MilliTime) {
        let usable_ms = self.length_ms - self.length_ms / GUARD_DIVISOR;
        self.held = Some((row.term, read_start.plus(usable_ms)));
    }

    /// Takes the news that another process holds the lease.
    pub fn record_loss(&mut self) {
        self.held = None;
    }

    /// Returns whether the task may be done now.
    pub fn is_held(&self, now: MilliTime) -> bool {
        self.held.is_some_and(|(_, until)| now < until)
    }

    /// Returns the term of the lease, if it is held.
    pub fn term(&self, now: MilliTime) -> Option<u64> {
        let (term, until) = self.held?;
        (now < until).then_some(term)
    }
}
