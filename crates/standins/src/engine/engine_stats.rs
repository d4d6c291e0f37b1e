use serde::Deserialize;
use serde::Serialize;

/// The counters of an engine stand-in, also read by `GET /engine/stats`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStats {
    /// The batches that ran.
    pub batches: u64,
    /// The steps or tokens that ran.
    pub steps: u64,
    /// The steps that were rejected because of their position, range or input.
    pub rejected_steps: u64,
    /// The prompt tokens that were computed.
    pub prompt_tokens: u64,
    /// The prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// The orders that were obeyed.
    pub orders: u64,
    /// The orders that were rejected because of their fencing number.
    pub rejected_orders: u64,
    /// The sessions that were cancelled.
    pub cancels: u64,
    /// The crashes.
    pub crashes: u64,
}
