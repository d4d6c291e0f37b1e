/// The share by which the reserved output exceeds a caller's estimate.
///
/// The estimate is right at the median only; without a margin half of the requests outgrow it.
const ESTIMATE_MARGIN: f64 = 1.0;

/// The tokens of a model request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestSize {
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub max_output_tokens: u32,
    /// The caller's estimate of the answer's tokens.
    pub output_estimate: Option<u32>,
}

impl RequestSize {
    /// Returns the tokens of context for which memory is reserved.
    ///
    /// `usual_answer` stands in for a missing estimate.
    pub fn reserved_tokens(&self, usual_answer: f64) -> f64 {
        let estimate = self.output_estimate.map_or(usual_answer, f64::from);
        let output = (estimate * ESTIMATE_MARGIN).min(f64::from(self.max_output_tokens));
        f64::from(self.prompt_tokens) + output
    }
}
