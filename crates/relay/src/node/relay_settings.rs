use std::net::SocketAddr;

use super::RelayBounds;

/// The settings of a relay process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelaySettings {
    /// The name of the process, unique in the deployment.
    pub name: String,
    /// The availability zone of the process.
    pub zone: String,
    /// The processor capacity of the process, in thousandths of a core.
    pub capacity: u32,
    /// The address that accepts callers.
    pub caller_address: SocketAddr,
    /// The address of the load balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// The UDP address that receives datagrams of the other relay processes.
    pub peer_address: SocketAddr,
    /// The address that serves metrics, and the rows that were read to other relay processes.
    pub metrics_address: SocketAddr,
    /// The address of the store.
    pub store_address: SocketAddr,
    /// The settings that can be reloaded.
    pub bounds: RelayBounds,
}
