use std::net::SocketAddr;

use crate::node::NodeState;
use crate::wire::EngineReport;

/// Requests the report of the engine with the identifier `id`.
///
/// # Errors
///
/// Returns a message if there is no valid report within `wait_ms`.
pub async fn fetch_report(
    state: &NodeState,
    id: &str,
    address: SocketAddr,
    wait_ms: u64,
) -> Result<EngineReport, String> {
    let call = state.format.encode_report_request(id);
    match state.engine_client.call(address, call, wait_ms).await? {
        (200, body) => state
            .format
            .decode_report(&body)
            .map_err(|error| error.to_string()),
        (status, _) => Err(format!("status {status}")),
    }
}
