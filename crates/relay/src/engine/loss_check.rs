use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::crash_report::record_refused_connection;
use crate::node::NodeState;

/// The time-out of the connection, in milliseconds; an engine that runs accepts one within two.
const CHECK_TIMEOUT_MS: u64 = 50;

/// Opens a connection to an engine whose run broke off, and records the loss of the engine if it refuses it.
pub async fn check_engine_loss(state: &NodeState, id: &str, address: SocketAddr) {
    let timeout = Duration::from_millis(CHECK_TIMEOUT_MS);
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            record_refused_connection(state, id);
        }
        // An engine that does not respond is found lost once its registration expires.
        _ => {}
    }
}
