use std::net::SocketAddr;

use bytes::Bytes;

use crate::node::NodeState;
use crate::wire::EncodedCall;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::RowSnapshot;

/// The longest wait for rows of another process, in milliseconds.
const ANSWER_MS: u64 = 500;

/// Asks the process that reads the store for the rows of a table.
///
/// Returns none, with a log line, if there is no such process or it doesn't answer with rows.
pub(crate) async fn fetch_rows(state: &NodeState, table: StoreTable) -> Option<Vec<StoreRow>> {
    let reader = state.peers.borrow().store_reader(state.clock.now())?;
    fetch_rows_from(state, reader, table, ANSWER_MS).await
}

/// Asks another process for the rows of a table, and waits for `wait_ms` at most.
///
/// Returns none, with a log line, if it doesn't answer with rows.
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
        Ok((status, _)) => Err(format!("status {status}")),
        Err(error) => Err(error),
    };
    match rows {
        Ok(rows) => Some(rows),
        Err(error) => {
            spdlog::warn!("peers: no rows from {reader}: {error}");
            None
        }
    }
}
