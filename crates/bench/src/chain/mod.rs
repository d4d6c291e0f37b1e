/*!
Simulation of chains of engines under load.

Entries choose chains without a coordinator and know the load of other entries only from reports. The
simulation shows how close a placement and a sharing policy come to the throughput bound, and how many
requests are late, refused, or rejected by engines because several entries filled the same free memory.

A [`FleetFile`] names the engines, the entries and the load. A [`PlacementStrategy`] assigns layers to
the engines. [`run`] simulates the decisions of the relay with a [`SharingPolicy`]: the choice of chains,
queueing and refusals. The engines work in passes and follow the cost model of the fleet file.
*/

mod chain_engine;
mod chain_entry;
mod chain_event;
mod chain_report;
mod chain_request;
mod chain_setup;
mod chain_tally;
mod chain_world;
mod engine_pass;
mod fleet_count;
mod fleet_error;
mod fleet_file;
mod load_class;
mod placement_strategy;
mod prefill_work;
mod sharing_policy;
mod waiting_request;
mod world_engines;
mod world_entries;

pub use self::chain_report::ChainReport;
pub use self::chain_setup::ChainSetup;
pub use self::fleet_count::FleetCount;
pub use self::fleet_error::FleetError;
pub use self::fleet_file::FleetFile;
pub use self::load_class::LoadClass;
pub use self::placement_strategy::PlacementStrategy;
pub use self::sharing_policy::SharingPolicy;

/// Runs a simulation; equal setups give equal reports.
pub fn run(setup: &ChainSetup<'_>) -> ChainReport {
    chain_world::ChainWorld::new(setup).run()
}
