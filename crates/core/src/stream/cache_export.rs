use crate::ident::ModelName;

use super::LayerRange;
use super::StepPayload;
use super::StopReason;

/// A description of the KV cache of one request, exported by another engine.
///
/// The engine imports the cache itself; the machine receives only this description.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheExport {
    /// The model that computed the cache.
    pub model: ModelName,
    /// The version of the model.
    pub version: u32,
    /// The layers that the cache belongs to.
    pub range: LayerRange,
    /// The token before each exported position except the first, whose input is the prompt.
    pub tokens: Vec<String>,
    /// The inputs of the exported positions.
    pub inputs: Vec<StepPayload>,
    /// The outputs of the exported positions.
    pub outputs: Vec<StepPayload>,
    /// The stop reason, if the last exported output ends the answer.
    pub end: Option<StopReason>,
}
