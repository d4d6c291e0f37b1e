use dandelionroad_core::stream::StepPayload;
use serde::Deserialize;
use serde::Serialize;

/// The output of one step of a layer-range engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepOutput {
    /// The activation, or, after the last layer, the text of the generated token.
    pub payload: StepPayload,
    /// Whether the token ends the answer.
    pub is_end: bool,
}
