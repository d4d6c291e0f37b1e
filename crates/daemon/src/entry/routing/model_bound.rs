use dandelionroad_core::config::ConfigState;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::route::FlowGraph;
use serde::Serialize;

use super::model_plan::candidate_versions;
use super::model_plan::usable_nodes;

/// The upper bound of the throughput of a model.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ModelBound {
    /// The name of the model.
    pub model: ModelName,
    /// The maximum flow through the live endpoints of the served version, in tokens per second.
    pub tokens_per_second: u64,
}

/// Returns the throughput bound of each model with the current members, ordered by model name.
///
/// All endpoints are included, also those outside the subset to which a single entry routes.
pub fn model_bounds(config: &ConfigState, members: &MemberTable) -> Vec<ModelBound> {
    config
        .models
        .iter()
        .map(|model| {
            let bound = |version| {
                let nodes = usable_nodes(config, members, model, version);
                FlowGraph::new(model.layers, &nodes, &[]).plan().bound()
            };
            let versions = candidate_versions(members, model);
            let served = versions.into_iter().map(bound).find(|bound| *bound > 0);
            ModelBound {
                model: model.name.clone(),
                tokens_per_second: served.unwrap_or_default(),
            }
        })
        .collect()
}
