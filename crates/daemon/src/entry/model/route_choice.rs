//! The choice of a route.

use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::ModelSpec;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::member::MemberRole;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::member::MemberTable;
use dandelionroad_core::stream::ChainRoute;
use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::RouteStage;
use rand::seq::IndexedRandom;

/// Chooses a route for a request to `model` without the `excluded` endpoints (sorted).
///
/// With `kept`, a route and the position of its failed stage, the other stages stay as they are if
/// the layers of the failed one can be covered. Returns `None` if no route covers the layers.
pub(super) fn choose_route(
    config: &ConfigState,
    members: &MemberTable,
    model: &ModelSpec,
    excluded: &[EndpointName],
    kept: Option<(&ChainRoute, usize)>,
) -> Option<ChainRoute> {
    let candidates = candidates(config, members, model, excluded);
    if let Some((route, failed)) = kept
        && let Some(route) = replace_stage(&candidates, route, failed)
    {
        return Some(route);
    }
    let stages = cover(&candidates, LayerRange::new(0, model.layers))?;
    Some(ChainRoute { stages })
}

/// Returns the usable endpoints of the model's pools, each with all the layers that it holds.
fn candidates(
    config: &ConfigState,
    members: &MemberTable,
    model: &ModelSpec,
    excluded: &[EndpointName],
) -> Vec<RouteStage> {
    let pools = config.pools_of(&model.name);
    pools
        .filter(|pool| pool.version == model.version)
        .flat_map(|pool| &pool.endpoints)
        .filter(|endpoint| excluded.binary_search(&endpoint.name).is_err())
        .filter_map(|endpoint| {
            let record = members.get(endpoint.name.as_str())?;
            let is_usable =
                record.role == MemberRole::Endpoint && record.state == MemberState::Live;
            is_usable.then(|| RouteStage {
                endpoint: endpoint.name.clone(),
                address: record.address.clone(),
                range: LayerRange::new(endpoint.first_layer, endpoint.end_layer),
            })
        })
        .collect()
}

fn replace_stage(
    candidates: &[RouteStage],
    route: &ChainRoute,
    failed: usize,
) -> Option<ChainRoute> {
    let lost = route.stages.get(failed)?;
    let is_in_route = |stage: &RouteStage| {
        let mut stages = route.stages.iter();
        stages.any(|used| used.endpoint == stage.endpoint)
    };
    let free: Vec<RouteStage> = candidates
        .iter()
        .filter(|stage| !is_in_route(stage))
        .cloned()
        .collect();
    let mut stages = route.stages[..failed].to_vec();
    stages.extend(cover(&free, lost.range)?);
    stages.extend_from_slice(&route.stages[failed + 1..]);
    Some(ChainRoute { stages })
}

/// Covers a range with as few stages as possible, with a random choice among equal ones.
fn cover(candidates: &[RouteStage], range: LayerRange) -> Option<Vec<RouteStage>> {
    let mut stages = Vec::new();
    let mut next = range.first;
    while next < range.end {
        let reach = |stage: &RouteStage| stage.range.end.min(range.end);
        let holds_next = |stage: &&RouteStage| stage.range.first <= next && stage.range.end > next;
        let end = candidates.iter().filter(holds_next).map(reach).max()?;
        let best: Vec<&RouteStage> = candidates
            .iter()
            .filter(holds_next)
            .filter(|stage| reach(stage) == end)
            .collect();
        let chosen = best.choose(&mut rand::rng())?;
        stages.push(RouteStage {
            range: LayerRange::new(next, end),
            ..(*chosen).clone()
        });
        next = end;
    }
    Some(stages)
}
