/// The time-outs of a run that makes no progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct StallTimeouts {
    /// The time after which the first engine of its chain is probed, in milliseconds.
    pub(super) probe_ms: u64,
    /// The time after which the run fails over to another chain, in milliseconds.
    pub(super) failover_ms: u64,
}
