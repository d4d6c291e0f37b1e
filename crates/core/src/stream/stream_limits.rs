/// The limits of an entry that follows a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamLimits {
    /// The time without an event of the head after which the stream is opened again, in
    /// milliseconds.
    pub silence_ms: u64,
    /// The time without an event after that until the head is replaced, in milliseconds.
    pub reopen_ms: u64,
    /// The greatest number of attempts, the first one included.
    pub max_attempts: u32,
    /// The time between two searches for a route while there is none, in milliseconds.
    pub route_retry_ms: u64,
}
