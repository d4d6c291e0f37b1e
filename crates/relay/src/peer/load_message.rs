use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::PeerLoad;

/// The loads of one process, told to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadMessage {
    /// Where the sender serves metrics and copies of rows.
    pub internal: SocketAddr,
    /// The availability zone of the sender.
    pub zone: String,
    /// A number that tells this run of the process from earlier ones: the steady clock starts anew
    /// with the host.
    pub run: u64,
    /// The sender's clock in milliseconds; an older message that comes late is dropped.
    pub stamp: u64,
    /// Whether the sender reaches the store.
    pub reaches_store: bool,
    /// The loads of the sender.
    pub loads: Vec<PeerLoad>,
}
