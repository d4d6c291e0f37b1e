use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::stream::StepPayload;
use serde::Deserialize;
use serde::Serialize;

/// One step of a layer-range engine: compute one position of a session.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStep {
    /// The session; its cache lives in the engine until it is cancelled or evicted.
    pub session: String,
    /// The position; the engine rejects any but the next one of the session.
    pub position: u32,
    /// The layers to run, a subset of those that the engine holds.
    pub range: LayerRange,
    /// Whether the range ends with the last layer, so that the output is a token.
    pub is_last: bool,
    /// The input.
    pub payload: StepPayload,
}
