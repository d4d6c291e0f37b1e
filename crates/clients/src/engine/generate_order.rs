use serde::Deserialize;
use serde::Serialize;

/// The order to generate with a whole-model engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerateOrder {
    /// The session.
    pub session: String,
    /// The prompt.
    pub prompt: String,
    /// The tokens generated so far, from which the engine resumes.
    pub resume: Vec<String>,
    /// The greatest number of tokens of the whole answer.
    pub max_tokens: u32,
    /// The priority class: 0 is interactive, higher is served later.
    pub priority: u8,
}
