use std::net::SocketAddr;

use super::RelayBounds;

/// The settings of a process that relays requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelaySettings {
    /// The name of the process, which no other one has.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the process takes callers.
    pub readiness_address: SocketAddr,
    /// Where the other processes of dandelionroad send datagrams.
    pub peer_address: SocketAddr,
    /// Where metrics are read.
    pub metrics_address: SocketAddr,
    /// Where the store is.
    pub store_address: SocketAddr,
    /// The bounds to keep.
    pub bounds: RelayBounds,
}
