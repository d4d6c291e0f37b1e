use crate::ident::ModelName;
use crate::ident::PoolName;
use crate::stream::LayerRange;

/// The model version and layers that the configuration assigns to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadTarget {
    /// The pool of the endpoint.
    pub pool: PoolName,
    /// The name of the model.
    pub model: ModelName,
    /// The version of the model.
    pub version: u32,
    /// The key of the weights in the weight store.
    pub weights: String,
    /// The layers that the endpoint is to hold.
    pub range: LayerRange,
    /// The total number of layers of the model.
    pub layers: u16,
    /// The minimum number of endpoints that stay ready during a rollout.
    pub min_ready: u32,
}
