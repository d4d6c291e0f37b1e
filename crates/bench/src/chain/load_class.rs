use serde::Deserialize;

/// A kind of request of a load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// The name.
    pub name: String,
    /// The requests a second.
    pub per_second: f64,
    /// The mean number of prompt tokens.
    pub prompt_tokens: f64,
    /// The mean number of tokens of an answer.
    pub answer_tokens: f64,
    /// The wanted time to the first event, in milliseconds.
    pub target_ms: u64,
    /// The wanted pause between events, in milliseconds.
    pub gap_ms: u64,
}
