use dandelionroad_core::stream::LayerRange;
use serde::Deserialize;
use serde::Serialize;

/// One step that an engine stand-in ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepRecord {
    /// The session.
    pub session: String,
    /// The position.
    pub position: u32,
    /// The layers.
    pub range: LayerRange,
}
