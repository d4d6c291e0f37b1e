use crate::time::MilliTime;

/// What a request needs of a chain.
#[derive(Clone, Copy, Debug)]
pub struct FinderRequest<'a> {
    /// The tokens of context for which memory is needed at every part.
    pub tokens: f64,
    /// The availability zone of the process that sends the request.
    pub zone: &'a str,
    /// The identifiers of engines that must not take part.
    pub excluded: &'a [String],
    /// Whether the chain may cross from one availability zone to another.
    pub may_cross: bool,
    /// The longest expected wait of the prompt at an engine, in milliseconds.
    pub max_wait_ms: f64,
    /// A number that differs between requests and processes.
    pub seed: u64,
    /// The present time.
    pub now: MilliTime,
}
