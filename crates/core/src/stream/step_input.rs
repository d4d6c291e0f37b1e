use serde::Deserialize;
use serde::Serialize;

use super::StepPayload;

/// The input of a stage for one position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepInput {
    /// The position: 0 computes the prompt and yields the first token.
    pub position: u32,
    /// The token before this position, empty at position 0.
    ///
    /// A stage compares the tokens with the ones of a new attempt, and computes again if they differ.
    pub token: String,
    /// The input.
    pub payload: StepPayload,
}
