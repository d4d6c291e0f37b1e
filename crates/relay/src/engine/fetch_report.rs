use std::net::SocketAddr;

use crate::node::NodeState;
use crate::wire::EngineReport;

/// Asks an engine for its state.
///
/// # Errors
///
/// Returns a text if there is no report that can be read within `wait_ms`.
pub async fn fetch_report(
    state: &NodeState,
    address: SocketAddr,
    wait_ms: u64,
) -> Result<EngineReport, String> {
    let call = state.format.encode_report_request();
    match state.engine_client.call(address, call, wait_ms).await? {
        (200, body) => state
            .format
            .decode_report(&body)
            .map_err(|error| error.to_string()),
        (status, _) => Err(format!("status {status}")),
    }
}
