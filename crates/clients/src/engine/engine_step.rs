use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StepPayload;
use serde::Deserialize;
use serde::Serialize;

/// A request to a layer-range engine to compute one position of a session.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStep {
    /// The id of the session, whose KV cache the engine keeps until the session is cancelled or evicted.
    pub session: String,
    /// The position; the engine rejects any other than the next one of the session.
    pub position: u32,
    /// The layers to run, a subset of those that the engine holds.
    pub range: LayerRange,
    /// Whether the range ends with the last layer, so that the output is a token.
    pub is_last: bool,
    /// The input: text for the first layer, otherwise the activation of the preceding layer.
    pub payload: StepPayload,
}
