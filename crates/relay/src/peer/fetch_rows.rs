use std::net::SocketAddr;

use bytes::Bytes;
use dandelionroad_core::relay::StoreVersion;
use hyper::HeaderMap;
use serde::de::DeserializeOwned;

use crate::node::NodeState;
use crate::wire::EncodedCall;
use crate::wire::StoreRow;

use super::ListingAnswer;
use super::shared_rows::CONFIG_PATH;
use super::shared_rows::listing_path;

/// The time-out for fetching the configuration, in milliseconds.
const CONFIG_TIMEOUT_MS: u64 = 500;

/// The time-out for fetching changes of the list of engines, in milliseconds.
///
/// They are small, and another process may have to be asked within the time in which a change must be
/// known.
const LISTING_TIMEOUT_MS: u64 = 150;

/// The time-out for fetching the whole list of engines, in milliseconds.
const WHOLE_LISTING_TIMEOUT_MS: u64 = 1_000;

/// Fetches the rows of the configuration from the store reader.
///
/// Returns `None` if there is no store reader, or after logging the error if it doesn't return rows.
pub(crate) async fn fetch_config(state: &NodeState) -> Option<Vec<StoreRow>> {
    let reader = state.peers.borrow().store_reader(state.clock.now())?;
    fetch_config_from(state, reader).await
}

/// Fetches the rows of the configuration from another process.
///
/// Returns `None`, after logging the error, if the process doesn't return rows.
pub(super) async fn fetch_config_from(
    state: &NodeState,
    reader: SocketAddr,
) -> Option<Vec<StoreRow>> {
    fetch(state, reader, CONFIG_PATH.to_owned(), CONFIG_TIMEOUT_MS).await
}

/// Fetches the changes of the list of engines since `version` from another process.
///
/// Returns `None`, after logging the error, if the process doesn't return them.
pub(crate) async fn fetch_listing(
    state: &NodeState,
    address: SocketAddr,
    version: StoreVersion,
) -> Option<ListingAnswer> {
    let timeout_ms = match version {
        StoreVersion::UNREAD => WHOLE_LISTING_TIMEOUT_MS,
        _ => LISTING_TIMEOUT_MS,
    };
    fetch(state, address, listing_path(version), timeout_ms).await
}

async fn fetch<T: DeserializeOwned>(
    state: &NodeState,
    address: SocketAddr,
    path: String,
    timeout_ms: u64,
) -> Option<T> {
    let call = EncodedCall {
        headers: HeaderMap::new(),
        method: "GET",
        path: path.clone(),
        body: Bytes::new(),
    };
    let fetched = match state.engine_client.call(address, call, timeout_ms).await {
        Ok((200, body)) => postcard::from_bytes(&body).map_err(|error| error.to_string()),
        Ok((status, _)) => Err(format!("unexpected status {status}")),
        Err(error) => Err(error),
    };
    fetched
        .inspect_err(|error| spdlog::warn!("peers: can't fetch {path} from {address}: {error}"))
        .ok()
}
