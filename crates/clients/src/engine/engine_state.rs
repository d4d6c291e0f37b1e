use dandelionroad_core::stream::LayerRange;
use serde::Deserialize;
use serde::Serialize;

/// What an engine says it holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// The model, or an empty text if none is loaded.
    pub model: String,
    /// The version.
    pub version: u32,
    /// The layers.
    pub range: LayerRange,
    /// Whether the load is complete.
    pub ready: bool,
    /// The start of the engine, which changes when it crashed and came back.
    pub started: u64,
}
