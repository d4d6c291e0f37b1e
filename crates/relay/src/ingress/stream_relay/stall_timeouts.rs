use dandelionroad_core::time::MilliTime;

/// The time-outs of a run that makes no progress.
///
/// They count from the last progress, not from the last byte: an engine that sends a byte or a comment now
/// and then makes no progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct StallTimeouts {
    /// The time at which the first engine of the chain is probed next.
    pub(super) probe_at: MilliTime,
    /// The time at which the run fails over to another chain; `None` once that was tried.
    pub(super) failover_at: Option<MilliTime>,
    /// Whether the first engine has been probed since the last progress.
    pub(super) is_probed: bool,
}

impl StallTimeouts {
    /// Creates the time-outs of a run that has made progress now, in milliseconds from now.
    pub(super) fn new(now: MilliTime, probe_ms: u64, failover_ms: u64) -> StallTimeouts {
        StallTimeouts {
            probe_at: now.plus(probe_ms),
            failover_at: Some(now.plus(failover_ms)),
            is_probed: false,
        }
    }
}
