use dandelionroad_core::stream::StepPayload;
use serde::Deserialize;
use serde::Serialize;

/// The output of one step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepOutput {
    /// The activation, or the text of the token after the last layer.
    pub payload: StepPayload,
    /// Whether the token ends the answer.
    pub is_end: bool,
}
