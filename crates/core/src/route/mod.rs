/*!
Route choice: load reports, maximum flow and the choice of endpoints.

[`FlowGraph`] computes the bound and a [`RoutePlan`]; [`RouteChooser`] draws a route from it with
the loads of an [`EndpointPicker`]. [`PrefixIndex`] prefers endpoints that probably hold a prompt's
prefix, and [`EndpointSubset`] limits how many endpoints one entry uses.
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
