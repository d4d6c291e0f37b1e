use serde::Deserialize;
use serde::Serialize;

/// The requests of one process at one engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerLoad {
    /// The tag of the engine; see [`EngineEntry::tag`](dandelionroad_core::relay::EngineEntry::tag).
    pub engine: u32,
    /// The number of requests.
    pub requests: u32,
    /// The memory that they take, in tokens times layers.
    pub units: u64,
    /// The prompt tokens of those without a first event.
    pub reading: u32,
}
