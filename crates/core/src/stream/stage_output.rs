use super::StepPayload;
use super::StopReason;

/// The output of an engine for one position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StageOutput {
    /// The activation, or after the last layer the text of the token.
    pub payload: StepPayload,
    /// The stop reason, if the token ends the answer.
    pub end: Option<StopReason>,
}
