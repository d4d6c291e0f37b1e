/*!
Placement of model layers on engines, and chains of engines for requests.

A model that fits no single accelerator is split by layers: each engine holds a range of them, and a
request runs through a chain of engines whose ranges cover all layers once and in order. Engines differ
in speed and memory, and can be lost or restart without layers at any time.

[`PlacementPlanner`] assigns layer ranges to engines. [`ChainFinder`] searches, for each request, the
chain with the lowest expected time among those with enough memory. The cost of an engine grows with
its load, so that a load peak spreads to slower engines before the fast ones run out of memory.
[`CrossingBudget`] limits the chains that cross availability zones, because they share one link.
[`ThroughputBound`] gives the request rate that no routing policy can exceed on a placement.
*/

mod chain_candidate;
mod chain_finder;
mod chain_search;
mod chain_shortage;
mod chain_stage;
mod crossing_budget;
mod finder_request;
mod found_chain;
mod group_former;
mod placement_engine;
mod placement_group;
mod placement_order;
mod placement_planner;
mod range_benefit;
mod range_finder;
mod request_profile;
mod room_forecast;
mod room_limits;
mod room_shortage;
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
pub use self::room_limits::RoomLimits;
pub use self::room_shortage::RoomShortage;
pub use self::throughput_bound::ThroughputBound;
pub use self::zone_shortage::ZoneShortage;
