use super::LoadWorkload;
use super::RoutePolicy;
use super::SimFault;

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunSetup {
    /// How entries choose routes.
    pub policy: RoutePolicy,
    /// The requests that callers send, apart from the load.
    pub workload: LoadWorkload,
    /// The fault to simulate, or [`SimFault::None`].
    pub fault: SimFault,
    /// The load, as a multiple of the throughput bound.
    pub load: f64,
    /// The simulated time of arrivals, in seconds.
    pub seconds: u64,
    /// The number of entries.
    pub entries: usize,
    /// The seed of arrivals and route choices.
    pub seed: u64,
}
