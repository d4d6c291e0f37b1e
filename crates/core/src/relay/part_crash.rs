use serde::Deserialize;
use serde::Serialize;

/// The loss of an engine while it began to answer a request with a prompt part, as processes report it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartCrash {
    /// The hash of the engine's incarnation; see [`EngineRecord::incarnation`](super::EngineRecord::incarnation).
    pub engine: u64,
    /// The time since the run broke off, in milliseconds.
    pub age_ms: u32,
}
