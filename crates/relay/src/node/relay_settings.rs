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
    pub callers: SocketAddr,
    /// Where the balancer asks whether the process takes callers.
    pub readiness: SocketAddr,
    /// Where the other processes of dandelionroad send datagrams.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Where the store is.
    pub store: SocketAddr,
    /// The bounds to keep.
    pub bounds: RelayBounds,
}
