use serde::Deserialize;
use serde::Serialize;

use crate::ident::ModelName;

/// The configuration of a model and its current version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The name of the model, as callers send it.
    pub name: ModelName,
    /// The version that pools should serve.
    pub version: u32,
    /// The number of layers.
    pub layers: u16,
    /// The key of the weights in the weight store.
    pub weights: String,
}
