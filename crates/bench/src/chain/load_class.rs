use serde::Deserialize;

/// A class of requests with the same sizes and latency targets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// The name of the class.
    pub name: String,
    /// The load, in requests a second.
    pub per_second: f64,
    /// The mean number of prompt tokens.
    pub prompt_tokens: f64,
    /// The mean number of answer tokens.
    pub answer_tokens: f64,
    /// The target time to the first event, in milliseconds.
    pub target_ms: u64,
    /// The maximum allowed time between two events, in milliseconds.
    pub gap_ms: u64,
}
