use dandelionroad_core::config::ConfigState;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::route::FlowGraph;
use serde::Serialize;

use super::model_plan::usable_nodes;

/// The bound on the throughput of a model.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ModelBound {
    /// The model.
    pub model: ModelName,
    /// The maximum flow through the live endpoints, in tokens per second.
    pub tokens_per_second: u64,
}

/// Returns the bound of each model with the present members, in the order of names.
///
/// All endpoints count, also those outside the subset that an entry routes to.
pub fn model_bounds(config: &ConfigState, members: &MemberTable) -> Vec<ModelBound> {
    config
        .models
        .iter()
        .map(|model| {
            let nodes = usable_nodes(config, members, model);
            let plan = FlowGraph::new(model.layers, &nodes, &[]).plan();
            ModelBound {
                model: model.name.clone(),
                tokens_per_second: plan.bound(),
            }
        })
        .collect()
}
