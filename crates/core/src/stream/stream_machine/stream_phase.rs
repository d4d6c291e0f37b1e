use crate::time::MilliTime;

/// The event that the machine waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StreamPhase {
    /// A route; `retry_at` is the time of the next search, `None` while a search is running.
    Routing { retry_at: Option<MilliTime> },
    /// The report on a recorded crash, before the stage is replaced.
    CountingCrash { stage: usize },
    /// Events from the head.
    Streaming,
    /// No event: the request has ended.
    Done,
}
