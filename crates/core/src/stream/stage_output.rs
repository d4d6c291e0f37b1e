use super::StepPayload;
use super::StopReason;

/// What an engine computed for one position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageOutput {
    /// The activation, or the text of the token after the last layer.
    pub payload: StepPayload,
    /// Set when the token ends the answer.
    pub end: Option<StopReason>,
}
