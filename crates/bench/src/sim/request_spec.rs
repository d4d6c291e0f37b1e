/// A request of a workload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSpec {
    /// The arrival at an entry, in microseconds.
    pub arrival_us: u64,
    /// The client account by number.
    pub account: usize,
    /// The prompt tokens.
    pub prompt_tokens: u32,
    /// The tokens to generate.
    pub generated_tokens: u32,
    /// The time allowed until the last token, in milliseconds.
    pub deadline_ms: u64,
}
