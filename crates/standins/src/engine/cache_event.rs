use serde::Deserialize;
use serde::Serialize;

/// A change of the prefix cache of an engine. Numbers that are missing were lost.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// The number of the event, rising from 1.
    pub number: u64,
    /// The hash of the prompt from its start to the end of the block.
    pub block: u64,
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}
