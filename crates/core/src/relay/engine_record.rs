use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::stream::LayerRange;

/// An engine or endpoint as it registers itself in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineRecord {
    /// The identifier, unique among the engines that are listed at the same time.
    pub id: String,
    /// The service to which it belongs.
    pub service: String,
    /// The address for requests.
    pub address: SocketAddr,
    /// The availability zone of its host.
    pub zone: String,
    /// Whether it is shutting down and accepts no new work.
    pub is_draining: bool,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The kind of accelerator; only model engines have one.
    pub kind: Option<String>,
    /// The layers that it holds; an empty range for none.
    pub layers: LayerRange,
    /// The start of this incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl EngineRecord {
    /// Returns the name of this incarnation, which is unique over time.
    pub fn incarnation(&self) -> String {
        format!("{}@{}", self.id, self.started_ms)
    }
}
