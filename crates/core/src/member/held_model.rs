use serde::Deserialize;
use serde::Serialize;

use crate::ident::ModelName;
use crate::stream::LayerRange;

/// What the engine beside an endpoint's process holds and can serve.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u32,
    /// The layers.
    pub range: LayerRange,
}
