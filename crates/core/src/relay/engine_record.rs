use std::net::SocketAddr;

use crate::stream::LayerRange;

/// An engine or endpoint as it lists itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRecord {
    /// The identifier, under which no other engine is listed at the same time.
    pub id: String,
    /// The service that it serves.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is about to leave and takes no new work.
    pub is_draining: bool,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The kind of accelerator, for model engines.
    pub kind: Option<String>,
    /// The layers that it holds; empty for none.
    pub layers: LayerRange,
    /// The start of this incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl EngineRecord {
    /// Returns the name of this incarnation, which no other one has.
    pub fn incarnation(&self) -> String {
        format!("{}@{}", self.id, self.started_ms)
    }
}
