use serde::Deserialize;
use serde::Serialize;

/// The counters of an engine stand-in, also returned by `GET /engine/stats`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStats {
    /// The number of batches that ran.
    pub batches: u64,
    /// The number of steps that ran, or of tokens that were generated.
    pub steps: u64,
    /// The number of steps rejected for their position, range or input.
    pub rejected_steps: u64,
    /// The number of prompt tokens that were computed.
    pub prompt_tokens: u64,
    /// The number of prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// The number of orders that were carried out.
    pub orders: u64,
    /// The number of orders rejected for a stale fencing token.
    pub rejected_orders: u64,
    /// The number of cancel requests.
    pub cancels: u64,
    /// The number of crashes.
    pub crashes: u64,
}
