/// The cost of tokens in work units, the measure of admission, limits and load reports.
///
/// A generated token occupies an engine for a whole step, while prompt tokens are processed many at a
/// time and therefore cost less.
///
/// # Example
///
/// ```
/// use dandelionroad_core::admit::WorkUnits;
///
/// let units = WorkUnits::default();
/// assert_eq!(units.of_request(100, 10), 180);
/// assert_eq!(units.per_second(50), 400);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkUnits {
    /// The cost of one prompt token that is not cached, in work units.
    pub prompt_token: u64,
    /// The cost of one generated token, in work units.
    pub generated_token: u64,
}

impl WorkUnits {
    /// Returns the cost of a request, in work units; at least 1.
    pub fn of_request(self, prompt_tokens: u64, generated_tokens: u64) -> u64 {
        let units = prompt_tokens * self.prompt_token + generated_tokens * self.generated_token;
        units.max(1)
    }

    /// Returns the rate of an engine that generates `tokens_per_second`, in work units per second.
    pub fn per_second(self, tokens_per_second: u64) -> u64 {
        tokens_per_second * self.generated_token
    }
}

impl Default for WorkUnits {
    fn default() -> WorkUnits {
        WorkUnits {
            prompt_token: 1,
            generated_token: 8,
        }
    }
}
