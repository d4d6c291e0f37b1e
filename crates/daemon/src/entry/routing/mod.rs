/*!
The choices of this entry: routes by flow and load, and the bound of each model.

[`RoutingState`] is the only part with state; it recomputes its plans when the configuration or the
members have changed.
*/

mod model_bound;
mod model_plan;
mod request_work;
mod routing_state;
mod routing_tables;

pub use self::model_bound::ModelBound;
pub use self::model_bound::model_bounds;
pub use self::routing_state::RoutingState;
