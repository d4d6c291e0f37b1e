/*!
The choices of this entry: routes by flow and load, the bound of each model, the limits of client
accounts and the retry budget.

[`RoutingState`] and [`EntryLimits`] follow the configuration and the members when they are used.
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
