use dandelionroad_core::stream::LayerRange;
use serde::Deserialize;
use serde::Serialize;

/// The state that an engine reports: which part of a model it holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// The name of the model, or an empty string if none is loaded.
    pub model: String,
    /// The version of the model.
    pub version: u32,
    /// The loaded layers.
    pub range: LayerRange,
    /// Whether loading is complete.
    pub ready: bool,
    /// The start of the current engine run; changes when the engine restarts after a crash.
    pub started: u64,
}
