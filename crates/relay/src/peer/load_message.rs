use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::PeerDemand;
use super::PeerLoad;

/// The loads that one process puts on engines and its demand for them, sent to the other processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadMessage {
    /// The address at which the sender serves its metrics and the rows that it has read.
    pub internal: SocketAddr,
    /// The availability zone of the sender.
    pub zone: String,
    /// The identifier of this run of the process. Timestamps of different runs are not comparable,
    /// since the monotonic clock restarts with the host.
    pub run: u64,
    /// The time on the sender's clock in milliseconds; receivers drop a message that is older than the
    /// last one.
    pub stamp: u64,
    /// Whether the sender can reach the store.
    pub reaches_store: bool,
    /// The processor capacity of the sender, in thousandths of a core.
    pub capacity: u32,
    /// The time since the sender's list of engines was last confirmed to be the newest, in milliseconds.
    pub listing_age_ms: u32,
    /// The time for which the sender still keeps engines that its list lacks, after an outage of the store that it has
    /// seen itself, in milliseconds.
    pub listing_grace_ms: u64,
    /// The loads of the sender.
    pub loads: Vec<PeerLoad>,
    /// The demand of the sender for services under shortage control.
    pub demands: Vec<PeerDemand>,
}
