use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::ModelSpec;
use dandelionroad_core::config::PoolMember;
use dandelionroad_core::config::PoolSpec;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberRole;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::route::FlowGraph;
use dandelionroad_core::route::FlowNode;
use dandelionroad_core::route::RoutePlan;
use dandelionroad_core::stream::LayerRange;

/// The route plan for one version of a model, with the endpoints to which this entry routes.
#[derive(Clone, Debug)]
pub(super) struct ModelPlan {
    pub(super) model: ModelName,
    pub(super) version: u32,
    pub(super) nodes: Vec<FlowNode>,
    pub(super) plan: RoutePlan,
}

impl ModelPlan {
    /// Computes the plan of a model version from its endpoints.
    ///
    /// Links are not measured yet, so they do not limit the flow.
    pub(super) fn new(model: &ModelSpec, version: u32, nodes: Vec<FlowNode>) -> ModelPlan {
        ModelPlan {
            model: model.name.clone(),
            version,
            plan: FlowGraph::new(model.layers, &nodes, &[]).plan(),
            nodes,
        }
    }

    /// Returns the key by which plans are sorted.
    pub(super) fn sort_key(&self) -> (&ModelName, u32) {
        (&self.model, self.version)
    }
}

/// Returns the versions of a model that may be served, in order of preference: the configured one,
/// then the others that engines hold, from the highest to the lowest.
///
/// During a rollout, the old version is served until a complete chain of engines holds the new one.
pub(super) fn candidate_versions(members: &MemberTable, model: &ModelSpec) -> Vec<u32> {
    let held = members.records().filter_map(|record| record.held.as_ref());
    let mut others: Vec<u32> = held
        .filter(|held| held.model == model.name && held.version != model.version)
        .map(|held| held.version)
        .collect();
    others.sort_unstable_by(|left, right| right.cmp(left));
    others.dedup();
    let mut versions = vec![model.version];
    versions.extend(others);
    versions
}

/// Returns the live endpoints in the pools of a model that serve `version`.
pub(super) fn usable_nodes(
    config: &ConfigState,
    members: &MemberTable,
    model: &ModelSpec,
    version: u32,
) -> Vec<FlowNode> {
    config
        .pools_of(&model.name)
        .flat_map(|pool| pool.endpoints.iter().map(move |endpoint| (pool, endpoint)))
        .filter_map(|(pool, endpoint)| {
            let record = members.get(endpoint.name.as_str())?;
            serves(record, pool, endpoint, version).then(|| FlowNode {
                endpoint: endpoint.name.clone(),
                zone: record.zone.clone(),
                range: LayerRange::new(endpoint.first_layer, endpoint.end_layer),
                tokens_per_second: u64::from(endpoint.tokens_per_second),
            })
        })
        .collect()
}

/// Returns whether a member is live and its engine holds the configured layers in `version`.
///
/// A member that has not yet reported what its engine holds (sequence 0) is assumed to hold the
/// version of its pool. One that reported that its engine holds nothing is loading.
fn serves(record: &MemberRecord, pool: &PoolSpec, endpoint: &PoolMember, version: u32) -> bool {
    let is_live = record.role == MemberRole::Endpoint && record.state == MemberState::Live;
    let is_held = match &record.held {
        Some(held) => {
            let has_layers =
                held.range.first <= endpoint.first_layer && held.range.end >= endpoint.end_layer;
            held.model == pool.model && held.version == version && has_layers
        }
        None => record.sequence == 0 && pool.version == version,
    };
    is_live && is_held
}
