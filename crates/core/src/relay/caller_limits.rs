/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The most bytes of a request's head.
    pub header_bytes: usize,
    /// The most bytes of a request's body.
    pub body_bytes: usize,
    /// The longest time to send a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// The longest time that a connection stays idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// The limits before the first configuration is known.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
