use serde::Deserialize;
use serde::Serialize;

use super::StepPayload;

/// The input of a stage for one position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepInput {
    /// The position: 0 computes the prompt and yields the first token.
    pub position: u32,
    /// The input.
    pub payload: StepPayload,
}
