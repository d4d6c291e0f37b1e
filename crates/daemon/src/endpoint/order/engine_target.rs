//! What the configuration wants the engine to hold.

use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::PoolSpec;
use dandelionroad_core::order::LoadTarget;
use dandelionroad_core::stream::LayerRange;

/// Returns the target of the endpoint `name`, or `None` if no pool names it.
///
/// A pool whose version is not the current one of its model has no target either: the weights of
/// another version are not configured, so the engine keeps what it holds.
pub(super) fn load_target(config: &ConfigState, name: &str) -> Option<LoadTarget> {
    let is_own = |pool: &&PoolSpec| {
        pool.endpoints
            .iter()
            .any(|member| member.name.as_str() == name)
    };
    let pool = config.pools.iter().find(is_own)?;
    let member = pool
        .endpoints
        .iter()
        .find(|member| member.name.as_str() == name)?;
    let model = config.model(&pool.model)?;
    (model.version == pool.version).then(|| LoadTarget {
        pool: pool.name.clone(),
        model: pool.model.clone(),
        version: pool.version,
        weights: model.weights.clone(),
        range: LayerRange::new(member.first_layer, member.end_layer),
        layers: model.layers,
        min_ready: pool.min_ready,
    })
}
