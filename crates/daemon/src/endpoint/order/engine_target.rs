//! Derives the load target of the engine from the configuration.

use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::PoolSpec;
use dandelionroad_core::order::LoadTarget;
use dandelionroad_core::stream::LayerRange;

/// Returns the load target of the endpoint `name`, or `None` if no pool contains it.
///
/// A pool whose version differs from the current one of its model gives no target either: the
/// weights of other versions are not configured, so the engine keeps what it has loaded.
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
