/// The multiplier on a caller's output estimate for the reserved memory.
///
/// The estimate is right for the median request only. The factor 1 adds no margin, so half of the
/// requests exceed their reservation.
const ESTIMATE_FACTOR: f64 = 1.0;

/// The size of a model request, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestSize {
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The maximum number of output tokens.
    pub max_output_tokens: u32,
    /// The caller's estimate of the number of output tokens.
    pub output_estimate: Option<u32>,
}

impl RequestSize {
    /// Returns the number of context tokens for which memory is reserved.
    ///
    /// `mean_output` replaces a missing estimate.
    pub fn reserved_tokens(&self, mean_output: f64) -> f64 {
        let estimate = self.output_estimate.map_or(mean_output, f64::from);
        let output = (estimate * ESTIMATE_FACTOR).min(f64::from(self.max_output_tokens));
        f64::from(self.prompt_tokens) + output
    }
}
