use dandelionroad_core::chain::PlacementEngine;
use dandelionroad_core::relay::ModelShape;

use super::FleetFile;
use super::SharingPolicy;

/// The parameters of a simulation of chains.
#[derive(Clone, Copy, Debug)]
pub struct ChainSetup<'a> {
    /// The fleet and its load.
    pub fleet: &'a FleetFile,
    /// The model.
    pub shape: &'a ModelShape,
    /// The engines with their layers, as a [`PlacementStrategy`](super::PlacementStrategy) placed them.
    pub engines: &'a [PlacementEngine],
    /// How entries share their loads.
    pub policy: SharingPolicy,
    /// The multiplier on the load of the fleet file.
    pub load: f64,
    /// The multiplier on the load of the first account in the second half of the time.
    pub surge: f64,
    /// The simulated time of arrivals, in seconds.
    pub seconds: u64,
    /// The seed of the random draws.
    pub seed: u64,
}
