use serde::Deserialize;
use serde::Serialize;

/// A request to a whole-model engine to generate an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateOrder {
    /// The id of the session.
    pub session: String,
    /// The text of the prompt, without the tokens in `resume`.
    pub prompt: String,
    /// The tokens generated so far, after which the engine continues.
    pub resume: Vec<String>,
    /// The maximum number of tokens of the answer, including those in `resume`.
    pub max_tokens: u32,
    /// The priority class: 0 is interactive, higher classes are served later.
    pub priority: u8,
}
