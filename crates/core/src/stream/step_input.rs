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
    /// A replacement of the last stage takes these tokens in place of its own ones, so that the
    /// caches of the other stages stay valid with engines that sample at random.
    pub token: String,
    /// The input.
    pub payload: StepPayload,
}
