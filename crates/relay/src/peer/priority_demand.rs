use serde::Deserialize;
use serde::Serialize;

/// The demand of one process for a service at one priority.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PriorityDemand {
    /// The priority of the requests, 0 first.
    pub priority: u8,
    /// The prompt and expected answer tokens of the requests that wait for capacity.
    pub waiting_tokens: u32,
    /// The tokens of the requests that arrived, per second, as a moving average.
    pub arriving_tokens: u32,
}
