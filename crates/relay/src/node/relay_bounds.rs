/// The part of the memory that may be held for others, as a divisor.
///
/// The rest is for the program, the configuration and the list of engines, the buffers of connections and what the
/// allocator keeps.
const HELD_DIVISOR: usize = 6;

/// The limits and intervals of a process that can be reloaded without a restart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayBounds {
    /// The maximum age of the configuration with which API keys are accepted, in milliseconds.
    pub key_age_ms: u64,
    /// The interval at which the list of engines is read, in milliseconds.
    pub list_interval_ms: u64,
    /// The retries of all processes together that the retry budget allows, in percent of the requests.
    pub retry_percent: u32,
    /// The retries of all processes together that are allowed in addition, per window.
    pub retry_slack: u32,
    /// The time from the stop signal to the end of the process, in milliseconds.
    pub grace_ms: u64,
    /// The memory that the host grants to the process, in bytes.
    pub memory_bytes: usize,
}

impl RelayBounds {
    /// Returns the limit of the bytes held for others.
    pub const fn held_limit(&self) -> usize {
        self.memory_bytes / HELD_DIVISOR
    }
}
