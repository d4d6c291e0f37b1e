/// The mean request of a load, for a bound on how many are served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestProfile {
    /// The tokens of its prompt.
    pub prompt_tokens: f64,
    /// The tokens of its answer.
    pub answer_tokens: f64,
    /// The longest wanted pause between two events, in milliseconds.
    pub max_gap_ms: f64,
}

impl RequestProfile {
    /// Returns the tokens of its context at its end.
    pub fn total_tokens(&self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }
}
