use crate::time::MilliTime;

use super::RunPhase;

/// The time from the first event of an answer in which a request that crashes engines does so, in milliseconds.
///
/// Such a request crashes its engine when the engine begins to run it, which is with its first token. The event
/// of that token, and a few more, may reach the process before the engine ends. With a longer time, more of the
/// sound requests of a lost engine count as suspected, and the reports about them burden a large fleet.
const START_MS: u64 = 100;

/// How far the answer of a run has come.
///
/// Time counts from one event to the next, not to the moment at which a broken run is noticed: an engine that was
/// lost right after its first event may be found seconds later.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::AnswerProgress;
/// use dandelionroad_core::relay::RunPhase;
/// use dandelionroad_core::time::MilliTime;
///
/// let first = MilliTime::from_millis(1_000);
/// let mut progress = AnswerProgress::new();
/// assert!(!progress.record_event(first));
/// assert!(!progress.record_event(first.plus(30)));
/// assert_eq!(progress.phase(), RunPhase::Starting);
/// // The first event that shows that the run has outlasted its start.
/// assert!(progress.record_event(first.plus(600)));
/// assert!(!progress.record_event(first.plus(620)));
/// assert_eq!(progress.phase(), RunPhase::Established);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerProgress {
    first_event: Option<MilliTime>,
    is_established: bool,
}

impl AnswerProgress {
    /// Creates the progress of a run without an event.
    pub fn new() -> AnswerProgress {
        AnswerProgress::default()
    }

    /// Records an event; returns whether it is the one that establishes the run.
    pub fn record_event(&mut self, now: MilliTime) -> bool {
        let first = *self.first_event.get_or_insert(now);
        let was_established = self.is_established;
        self.is_established |= now.since(first) >= START_MS;
        self.is_established && !was_established
    }

    /// Returns the phase of the run.
    pub fn phase(&self) -> RunPhase {
        match self.is_established {
            true => RunPhase::Established,
            false => RunPhase::Starting,
        }
    }
}
