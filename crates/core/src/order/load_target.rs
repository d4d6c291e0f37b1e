use crate::ident::ModelName;
use crate::ident::PoolName;
use crate::stream::LayerRange;

/// What the configuration wants an engine to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadTarget {
    /// The pool of the endpoint.
    pub pool: PoolName,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u32,
    /// The key of the weights in the weight store.
    pub weights: String,
    /// The layers of the endpoint.
    pub range: LayerRange,
    /// The number of layers of the model.
    pub layers: u16,
    /// The number of endpoints that a rollout keeps ready.
    pub min_ready: u32,
}
