use serde::Deserialize;
use serde::Serialize;

/// The load that one process puts on one engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerLoad {
    /// The tag of the engine; see [`EngineEntry::tag`](dandelionroad_core::relay::EngineEntry::tag).
    pub engine: u32,
    /// The number of running requests.
    pub requests: u32,
    /// The KV memory that they occupy, in tokens times layers.
    pub units: u64,
    /// The prompt tokens of the requests that are still in prefill.
    pub reading: u32,
}
