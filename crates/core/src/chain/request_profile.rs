/// The mean request of a workload, for a [`ThroughputBound`](super::ThroughputBound).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestProfile {
    /// The length of the prompt, in tokens.
    pub prompt_tokens: f64,
    /// The length of the answer, in tokens.
    pub answer_tokens: f64,
    /// The maximum allowed time between two events of the answer, in milliseconds.
    pub max_gap_ms: f64,
}

impl RequestProfile {
    /// Returns the length of the context at the end of the answer, in tokens.
    pub fn total_tokens(&self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }
}
