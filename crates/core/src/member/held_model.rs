use serde::Deserialize;
use serde::Serialize;

use crate::ident::ModelName;
use crate::stream::LayerRange;

/// The part of a model that the engine of an endpoint has loaded and can serve.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldModel {
    /// The name of the model.
    pub model: ModelName,
    /// The version of the model.
    pub version: u32,
    /// The loaded layers.
    pub range: LayerRange,
}
