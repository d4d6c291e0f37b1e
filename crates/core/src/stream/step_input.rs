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
    /// A stage compares its tokens with those of a new attempt and recomputes if they differ.
    pub token: String,
    /// The prompt, token or activation to compute.
    pub payload: StepPayload,
}
