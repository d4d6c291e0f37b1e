use serde::Deserialize;
use serde::Serialize;

/// A block stored in or evicted from the prefix cache of an engine.
///
/// A gap in the numbers shows that events were lost.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// The sequence number of the event, starting at 1.
    pub number: u64,
    /// The hash of the prompt from its start to the end of the block.
    pub block: u64,
    /// Whether the block was stored rather than evicted.
    pub stored: bool,
}
