use serde::Deserialize;
use serde::Serialize;

/// An order to an engine to load or unload a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum EngineOrder {
    /// Load the layers from `first_layer` up to, but not including, `end_layer` of a model version.
    Load {
        /// The name of the model.
        model: String,
        /// The version of the model.
        version: u32,
        /// The key of the weights in the weight store.
        weights: String,
        /// The first layer to load, counted from 0.
        first_layer: u16,
        /// The layer after the last one to load.
        end_layer: u16,
    },
    /// Unload a model version.
    Unload {
        /// The name of the model.
        model: String,
        /// The version of the model.
        version: u32,
    },
}
