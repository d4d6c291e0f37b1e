/*!
Chains of engines under load: the bound by maximum flow, ways to place layers, and what entries know of
each other.

A [`FleetFile`] names engines, entries and load; [`PlacementWay`] gives the engines layers, and [`run`]
simulates the product's choice of chains, waiting and refusals over engines that work in passes.
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
mod placement_way;
mod prompt_work;
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
pub use self::placement_way::PlacementWay;
pub use self::sharing_policy::SharingPolicy;

/// Runs a simulation; the same setup gives the same report.
pub fn run(setup: &ChainSetup<'_>) -> ChainReport {
    chain_world::ChainWorld::new(setup).run()
}
