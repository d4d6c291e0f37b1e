use dandelionroad_core::chain::PlacementEngine;
use dandelionroad_core::relay::ModelShape;

use super::FleetFile;
use super::SharingPolicy;

/// What a simulation of chains runs.
#[derive(Clone, Copy, Debug)]
pub struct ChainSetup<'a> {
    /// The fleet and its load.
    pub fleet: &'a FleetFile,
    /// The model.
    pub shape: &'a ModelShape,
    /// The engines with their layers.
    pub engines: &'a [PlacementEngine],
    /// What entries know of each other.
    pub policy: SharingPolicy,
    /// The requests a second, as a factor of the fleet's load.
    pub load: f64,
    /// The factor on the load of the first account in the second half of the time.
    pub surge: f64,
    /// The simulated seconds of arrivals.
    pub seconds: u64,
    /// The seed.
    pub seed: u64,
}
