use crate::time::MilliTime;

/// What decides how a request is treated under shortage.
#[derive(Clone, Copy, Debug)]
pub struct ShortageRequest {
    /// The rank of its class; 0 is the most urgent. See [`ShortageControl`](super::ShortageControl).
    pub rank: u8,
    /// The prompt tokens and the expected output tokens.
    pub tokens: f64,
    /// The target time to the first event, in milliseconds.
    pub target_ms: u64,
    /// The target for the maximum time between two events, in milliseconds.
    pub gap_target_ms: u64,
    /// The time of its arrival.
    pub arrival: MilliTime,
    /// The time at which its caller gives up.
    pub deadline: MilliTime,
}
