/*!
Route selection by maximum flow and load.

A model is split by layers over endpoints of different speed, and a route is a chain of endpoints
that together hold all layers. Balancing each stage on its own would overload the layers that few
endpoints hold, so [`FlowGraph`] computes a maximum flow over the whole chain. It gives an upper
bound on the throughput and a [`RoutePlan`] of weighted paths.

For each request [`RouteChooser`] draws paths in proportion to their flow and picks the less loaded
endpoints on them. [`EndpointPicker`] holds the loads: the work that this entry has sent, and the
reports that endpoints attach to their replies. [`EndpointSubset`] limits how many endpoints one
entry uses. [`PrefixIndex`] picks an endpoint that probably has a prompt's prefix in its cache.
*/

mod endpoint_class;
mod endpoint_load;
mod endpoint_picker;
mod endpoint_subset;
mod flow_graph;
mod flow_link;
mod flow_node;
mod flow_path;
mod flow_solver;
mod load_report;
mod prefix_index;
mod route_chooser;
mod route_plan;
mod seeded_hash;

pub use self::endpoint_class::EndpointClass;
pub use self::endpoint_load::EndpointLoad;
pub use self::endpoint_picker::EndpointPicker;
pub use self::endpoint_subset::EndpointSubset;
pub use self::flow_graph::FlowGraph;
pub use self::flow_link::FlowLink;
pub use self::flow_node::FlowNode;
pub use self::flow_path::FlowPath;
pub(crate) use self::flow_solver::FlowSolver;
pub use self::load_report::LoadReport;
pub use self::prefix_index::PrefixIndex;
pub use self::route_chooser::RouteChooser;
pub use self::route_plan::RoutePlan;
pub use self::seeded_hash::hash_text;
pub use self::seeded_hash::mix_seed;
