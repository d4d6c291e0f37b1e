use std::net::SocketAddr;

use bytes::Bytes;

use crate::node::NodeState;
use crate::wire::EncodedCall;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::RowSnapshot;

/// The time-out for fetching rows from another process, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 500;

/// Fetches the rows of a table from the store reader.
///
/// Returns `None` if there is no store reader, or after logging the error if it doesn't return rows.
pub(crate) async fn fetch_rows(state: &NodeState, table: StoreTable) -> Option<Vec<StoreRow>> {
    let reader = state.peers.borrow().store_reader(state.clock.now())?;
    fetch_rows_from(state, reader, table, FETCH_TIMEOUT_MS).await
}

/// Fetches the rows of a table from another process, waiting for `wait_ms` at most.
///
/// Returns `None`, after logging the error, if the process doesn't return rows.
pub(super) async fn fetch_rows_from(
    state: &NodeState,
    reader: SocketAddr,
    table: StoreTable,
    wait_ms: u64,
) -> Option<Vec<StoreRow>> {
    let path = RowSnapshot::path(table)?;
    let call = EncodedCall {
        method: "GET",
        path: path.to_owned(),
        body: Bytes::new(),
    };
    let rows = match state.engine_client.call(reader, call, wait_ms).await {
        Ok((200, body)) => serde_json::from_slice(&body).map_err(|error| error.to_string()),
        Ok((status, _)) => Err(format!("unexpected status {status}")),
        Err(error) => Err(error),
    };
    match rows {
        Ok(rows) => Some(rows),
        Err(error) => {
            spdlog::warn!("peers: can't fetch {path} from {reader}: {error}");
            None
        }
    }
}
