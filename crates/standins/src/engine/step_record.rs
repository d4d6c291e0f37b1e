use dandelionroad_core::stream::LayerRange;
use serde::Deserialize;
use serde::Serialize;

/// A step that an engine stand-in ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepRecord {
    /// The id of the session, as in the request to the engine.
    pub session: String,
    /// The position of the step in the session.
    pub position: u32,
    /// The layers that ran.
    pub range: LayerRange,
}
