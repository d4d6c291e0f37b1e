use std::cmp::Ordering;

use super::sim_event::SimEvent;

/// A scheduled event; events at the same time are handled in the order of their sequence numbers.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedEvent {
    pub(super) time_us: u64,
    pub(super) sequence: u64,
    pub(super) event: SimEvent,
}

impl Ord for TimedEvent {
    /// Orders the earliest event as the greatest, as a binary heap returns the greatest first.
    fn cmp(&self, other: &TimedEvent) -> Ordering {
        (other.time_us, other.sequence).cmp(&(self.time_us, self.sequence))
    }
}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &TimedEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &TimedEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for TimedEvent {}
