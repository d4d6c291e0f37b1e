use crate::ident::ModelName;

use super::LayerRange;
use super::StepPayload;
use super::StopReason;

/// The cache of one request that another engine has exported, with what belongs to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheExport {
    /// The model.
    pub model: ModelName,
    /// The version of the model.
    pub version: u32,
    /// The layers.
    pub range: LayerRange,
    /// The tokens that the inputs after the first one were computed with.
    pub tokens: Vec<String>,
    /// The inputs of the exported positions.
    pub inputs: Vec<StepPayload>,
    /// The outputs of the exported positions.
    pub outputs: Vec<StepPayload>,
    /// Set when the last exported output ends the answer.
    pub end: Option<StopReason>,
}
