use crate::ident::ModelName;

use super::LayerRange;
use super::StepPayload;
use super::StopReason;

/// A description of the cache of one request that another engine exported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheExport {
    /// The model that computed the cache.
    pub model: ModelName,
    /// The version of the model.
    pub version: u32,
    /// The layers that the cache belongs to.
    pub range: LayerRange,
    /// The token before each exported position, without the first position, which is the prompt.
    pub tokens: Vec<String>,
    /// The inputs of the exported positions.
    pub inputs: Vec<StepPayload>,
    /// The outputs of the exported positions.
    pub outputs: Vec<StepPayload>,
    /// The stop reason, if the last exported output ends the answer.
    pub end: Option<StopReason>,
}
