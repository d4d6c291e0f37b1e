/// A request of a workload, before it is routed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSpec {
    /// The simulated time of arrival at an entry, in microseconds.
    pub arrival_us: u64,
    /// The index of the client account.
    pub account: usize,
    /// The number of prompt tokens.
    pub prompt_tokens: u32,
    /// The number of tokens to generate.
    pub generated_tokens: u32,
    /// The time from the arrival to the deadline of the last token, in milliseconds.
    pub deadline_ms: u64,
}
