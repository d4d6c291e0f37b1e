/*!
Simulation of routing and admission under load.

A fleet of engines with overlapping layer ranges serves a [`LoadWorkload`], with a [`SimFault`] in the
middle of the run. The entries choose routes with a [`RoutePolicy`]: the one of the daemon or a simple one
as a baseline. The engines admit requests with the admission queue of the core. The [`RunReport`] compares
the delivered work with the throughput bound of the fleet, which no policy can exceed, and shows
latencies, refusals and each account's share.
*/

mod account_tally;
mod fleet;
mod load_workload;
mod request_spec;
mod route_policy;
mod run_report;
mod run_setup;
mod sim_clock;
mod sim_engine;
mod sim_entry;
mod sim_event;
mod sim_fault;
mod sim_links;
mod sim_request;
mod sim_tally;
mod sim_work;
mod sim_world;
mod timed_event;
mod world_fault;

pub use self::account_tally::AccountTally;
pub use self::fleet::Fleet;
pub use self::load_workload::LoadWorkload;
pub use self::request_spec::RequestSpec;
pub use self::route_policy::RoutePolicy;
pub use self::run_report::RunReport;
pub use self::run_setup::RunSetup;
pub use self::sim_fault::SimFault;

/// Simulates one run; equal setups give equal reports.
pub fn run(setup: &RunSetup) -> RunReport {
    sim_world::SimWorld::new(setup).run()
}
