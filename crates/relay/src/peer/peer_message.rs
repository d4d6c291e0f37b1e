use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::PeerLoad;

/// The loads of one process, told to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// The name of the sender.
    #[serde(rename = "n")]
    pub name: String,
    /// Where the sender serves metrics and copies of rows.
    #[serde(rename = "h")]
    pub internal: SocketAddr,
    /// The availability zone of the sender.
    #[serde(rename = "z")]
    pub zone: String,
    /// A number that tells this run of the process from earlier ones: the steady clock starts anew
    /// with the host.
    #[serde(rename = "i")]
    pub run: u64,
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
