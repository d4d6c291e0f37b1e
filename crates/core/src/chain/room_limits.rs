/// How much of each engine a request may take.
///
/// # Example
///
/// ```
/// use dandelionroad_core::chain::RoomLimits;
///
/// let limits = RoomLimits::whole(250.0);
/// assert_eq!((limits.memory_share, limits.queue_ms), (1.0, 250.0));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomLimits {
    /// The share of the KV memory and of the slots for requests, from 0 to 1.
    pub memory_share: f64,
    /// The maximum expected time that the prompt waits at an engine for prefill, in milliseconds.
    pub queue_ms: f64,
    /// The tokens of other requests for which the engines keep room.
    pub reserved_tokens: f64,
}

impl RoomLimits {
    /// Returns the limits of a request that may take all memory, and whose prompt may wait for `queue_ms`
    /// milliseconds.
    pub const fn whole(queue_ms: f64) -> RoomLimits {
        RoomLimits {
            memory_share: 1.0,
            queue_ms,
            reserved_tokens: 0.0,
        }
    }
}
