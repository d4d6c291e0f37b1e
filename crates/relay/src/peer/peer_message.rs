use serde::Deserialize;
use serde::Serialize;

use super::PeerLoad;

/// A datagram from one process to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// The name of the sender.
    #[serde(rename = "n")]
    pub name: String,
    /// Rises with each message of a sender, so that an older one that comes late is dropped.
    #[serde(rename = "s")]
    pub sequence: u64,
    /// Whether the sender reaches the store.
    #[serde(rename = "r")]
    pub reaches_store: bool,
    /// The loads of the sender.
    #[serde(rename = "l")]
    pub loads: Vec<PeerLoad>,
}
