/*!
Request routing and rate limiting at an entry.

A model's endpoints form a graph in which a route is a chain that covers all layers. The maximum
flow through the graph gives the throughput bound of the model and the share of each endpoint; a
route is drawn by these shares and by the current loads. Plain services need no chain: a call goes
to the less loaded of two random endpoints. Client accounts are limited by work units, and retries
after refusals by a budget.

[`RoutingState`] and [`EntryLimits`] receive the current configuration and members with each call
and update themselves if these have changed.
*/

mod call_loads;
mod entry_limits;
mod model_bound;
mod model_plan;
mod request_work;
mod routing_state;
mod routing_tables;

pub use self::call_loads::CallLoads;
pub use self::entry_limits::EntryLimits;
pub use self::model_bound::ModelBound;
pub use self::model_bound::model_bounds;
pub use self::routing_state::RoutingState;
