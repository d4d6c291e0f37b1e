use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::ModelSpec;
use dandelionroad_core::config::PoolMember;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberRole;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::route::FlowGraph;
use dandelionroad_core::route::FlowNode;
use dandelionroad_core::route::RoutePlan;
use dandelionroad_core::stream::LayerRange;

/// The endpoints of a model that this entry routes to, and the plan for them.
#[derive(Clone, Debug)]
pub(super) struct ModelPlan {
    pub(super) model: ModelName,
    pub(super) nodes: Vec<FlowNode>,
    pub(super) plan: RoutePlan,
}

impl ModelPlan {
    /// Computes the plan of a model.
    ///
    /// No process measures the links yet, so that they don't limit the flow.
    pub(super) fn new(model: &ModelSpec, nodes: Vec<FlowNode>) -> ModelPlan {
        ModelPlan {
            model: model.name.clone(),
            plan: FlowGraph::new(model.layers, &nodes, &[]).plan(),
            nodes,
        }
    }
}

/// Returns the live endpoints of the model's pools.
pub(super) fn usable_nodes(
    config: &ConfigState,
    members: &MemberTable,
    model: &ModelSpec,
) -> Vec<FlowNode> {
    config
        .pools_of(&model.name)
        .filter(|pool| pool.version == model.version)
        .flat_map(|pool| &pool.endpoints)
        .filter_map(|endpoint| {
            let record = members.get(endpoint.name.as_str())?;
            is_usable(record, endpoint, model).then(|| FlowNode {
                endpoint: endpoint.name.clone(),
                zone: record.zone.clone(),
                range: LayerRange::new(endpoint.first_layer, endpoint.end_layer),
                tokens_per_second: u64::from(endpoint.tokens_per_second),
            })
        })
        .collect()
}

/// Returns whether a member serves its part of the model; an engine that tells what it holds must
/// hold this part of this version.
fn is_usable(record: &MemberRecord, endpoint: &PoolMember, model: &ModelSpec) -> bool {
    let is_live = record.role == MemberRole::Endpoint && record.state == MemberState::Live;
    let range = LayerRange::new(endpoint.first_layer, endpoint.end_layer);
    let is_held = record.held.as_ref().is_none_or(|held| {
        held.model == model.name && held.version == model.version && held.range == range
    });
    is_live && is_held
}
