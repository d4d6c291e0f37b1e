use serde::Deserialize;
use serde::Serialize;

/// A token of a whole-model engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GeneratedToken {
    /// The position of the token; the first one of the answer is 0.
    pub position: u32,
    /// The text of the token.
    pub text: String,
    /// Whether the token ends the answer.
    pub is_end: bool,
}
