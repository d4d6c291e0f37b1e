/*!
Chains of engines that hand a request on among themselves.

[`PlacementPlanner`] gives layer ranges to engines that start empty; [`ChainFinder`] finds, for one
request, the chain of held ranges that covers all layers once and in order with the least expected
time, among those with enough memory.
*/

mod chain_candidate;
mod chain_finder;
mod chain_search;
mod chain_shortage;
mod chain_stage;
mod crossing_budget;
mod finder_request;
mod found_chain;
mod placement_engine;
mod placement_group;
mod placement_order;
mod placement_planner;
mod range_finder;
mod range_gain;
mod request_profile;
mod throughput_bound;
mod zone_shortage;

pub use self::chain_finder::ChainFinder;
pub use self::chain_shortage::ChainShortage;
pub use self::chain_stage::ChainStage;
pub use self::crossing_budget::CrossingBudget;
pub use self::finder_request::FinderRequest;
pub use self::found_chain::FoundChain;
pub use self::placement_engine::PlacementEngine;
pub use self::placement_order::PlacementOrder;
pub use self::placement_planner::PlacementPlanner;
pub use self::request_profile::RequestProfile;
pub use self::throughput_bound::ThroughputBound;
pub use self::zone_shortage::ZoneShortage;
