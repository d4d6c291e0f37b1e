use super::ListingStatus;
use super::ListingStep;

/// The age up to which a process relies on confirmations, in percent of the read interval.
///
/// The interval is a third of the time within which a change must be known. A confirmation is at most an
/// interval and some 400 ms old. The rest of the time is for a read by another process of the zone (up to
/// [`MAX_RANK_DELAY_MS`]), its next datagram and the fetch of its list.
const MAX_CONFIRMED_AGE_PERCENT: u64 = 165;

/// The delay of a read of the store for each process that comes before this one, in milliseconds.
///
/// The first process of each zone reads; its datagram, 100 ms later at most, spares the others the call.
const RANK_DELAY_MS: u64 = 25;

/// The maximum delay of a read of the store by rank, in milliseconds.
const MAX_RANK_DELAY_MS: u64 = 200;

/// The time by which the list of another process must be fresher to be fetched, in milliseconds.
const MIN_GAIN_MS: u64 = 250;

/// The rule by which a process keeps its list of engines no older than the time within which an engine
/// that leaves must get no further requests.
///
/// One process reads the list at an interval and confirms it to the others. Where confirmations stop,
/// the store may be unreachable for the reader, for this process, or for both, and a call that gets no
/// answer tells it only after its time-out. A process therefore doesn't wait for its own call: it takes the
/// list from any process that reports a fresher one, which may be one that has just read the store for the
/// same reason.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::ListingPlan;
/// use dandelionroad_core::relay::ListingStatus;
/// use dandelionroad_core::relay::ListingStep;
///
/// let plan = ListingPlan::new(1_000);
/// let confirmed = ListingStatus { age_ms: 900, ..ListingStatus::default() };
/// assert!(matches!(plan.next_step(&confirmed), ListingStep::Wait(_)));
/// let silent = ListingStatus { age_ms: 1_700, peer_age_ms: Some(40), ..confirmed };
/// assert_eq!(plan.next_step(&silent), ListingStep::FetchPeer);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListingPlan {
    interval_ms: u64,
}

impl ListingPlan {
    /// Creates the plan for a read interval in milliseconds, a third of the time within which a change
    /// must be known.
    pub fn new(interval_ms: u64) -> ListingPlan {
        ListingPlan { interval_ms }
    }

    /// Returns what to do now.
    pub fn next_step(&self, status: &ListingStatus) -> ListingStep {
        if status.is_superseded && !status.is_reader {
            return ListingStep::FetchPeer;
        }
        let due_ms = match status.is_reader {
            true => self.interval_ms,
            false => self.interval_ms * MAX_CONFIRMED_AGE_PERCENT / 100,
        };
        if status.age_ms < due_ms {
            return ListingStep::Wait(due_ms - status.age_ms);
        }
        let gain_ms = status
            .peer_age_ms
            .map(|peer_ms| status.age_ms.saturating_sub(peer_ms));
        if gain_ms.is_some_and(|gain_ms| gain_ms >= MIN_GAIN_MS) {
            return ListingStep::FetchPeer;
        }
        let delay_ms = match status.is_reader {
            true => 0,
            false => (u64::from(status.rank) * RANK_DELAY_MS).min(MAX_RANK_DELAY_MS),
        };
        let wait_ms = (due_ms + delay_ms)
            .saturating_sub(status.age_ms)
            .max(status.store_pause_ms);
        match wait_ms {
            0 => ListingStep::ReadStore,
            wait_ms => ListingStep::Wait(wait_ms),
        }
    }
}
