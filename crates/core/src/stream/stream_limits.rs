/// The timeouts and limits of a stream at the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamLimits {
    /// The time without an event from the head after which the stream is reopened over a new
    /// connection, in milliseconds.
    pub silence_ms: u64,
    /// The time without an event from the head after reopening, after which the head is replaced,
    /// in milliseconds.
    pub reopen_ms: u64,
    /// The maximum number of attempts, including the first one.
    pub max_attempts: u32,
    /// The interval between searches for a route while there is none, in milliseconds.
    pub route_retry_ms: u64,
}
