use serde::Deserialize;
use serde::Serialize;

use super::PeerLoad;

/// The loads of one process, told to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// The name of the sender.
    #[serde(rename = "n")]
    pub name: String,
    /// The sender's clock in milliseconds; an older message that comes late is dropped.
    #[serde(rename = "s")]
    pub stamp: u64,
    /// Whether the sender reaches the store.
    #[serde(rename = "r")]
    pub reaches_store: bool,
    /// The loads of the sender.
    #[serde(rename = "l")]
    pub loads: Vec<PeerLoad>,
}
