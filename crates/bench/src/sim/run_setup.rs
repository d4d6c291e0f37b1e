use super::LoadWorkload;
use super::RoutePolicy;
use super::SimFault;

/// What one run simulates.
#[derive(Clone, Copy, Debug)]
pub struct RunSetup {
    /// The routing policy.
    pub policy: RoutePolicy,
    /// What callers send.
    pub workload: LoadWorkload,
    /// The fault.
    pub fault: SimFault,
    /// The load over the bound.
    pub load: f64,
    /// The simulated time in seconds.
    pub seconds: u64,
    /// The number of entries.
    pub entries: usize,
    /// The seed of arrivals and choices.
    pub seed: u64,
}
