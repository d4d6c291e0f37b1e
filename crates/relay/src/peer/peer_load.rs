use serde::Deserialize;
use serde::Serialize;

/// The requests of one process at one engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerLoad {
    /// The identifier of the engine.
    #[serde(rename = "e")]
    pub engine: String,
    /// The number of requests.
    #[serde(rename = "r")]
    pub requests: u32,
    /// The memory that they take, in tokens times layers.
    #[serde(rename = "u")]
    pub units: u64,
}
