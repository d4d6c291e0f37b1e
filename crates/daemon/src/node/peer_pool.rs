use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dandelionroad_messages::MAX_MESSAGE_BYTES;
use hyper::StatusCode;
use jsonrpsee::client_transport::ws::WsHandshakeError;
use jsonrpsee::core::client::Error;
use jsonrpsee::ws_client::HeaderMap;
use jsonrpsee::ws_client::HeaderValue;
use jsonrpsee::ws_client::PingConfig;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use spdlog::warn;

use super::cluster_guard::CLUSTER_HEADER;
use super::logged_names::LoggedNames;

/// The timeout of a connection attempt, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// The timeout of a request, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 30_000;

/// The time between keepalive pings, in milliseconds.
const PING_INTERVAL_MS: u64 = 1_000;

/// The time without any frame after which a connection is closed, in milliseconds.
const INACTIVE_LIMIT_MS: u64 = 2_000;

/// A pool of WebSocket connections to other processes: one for each address, opened on demand.
pub struct PeerPool {
    /// The cluster that each connection names.
    cluster: String,
    /// The addresses of other clusters that were named in the log.
    refusing: LoggedNames,
    /// Sorted by address.
    clients: Mutex<Vec<(String, Arc<WsClient>)>>,
}

impl PeerPool {
    /// Creates an empty pool, whose connections name `cluster`, the cluster of this process.
    pub fn new(cluster: &str) -> PeerPool {
        PeerPool {
            cluster: cluster.to_owned(),
            refusing: LoggedNames::default(),
            clients: Mutex::default(),
        }
    }

    /// Returns the connection to `address`, opening a new one if there is none or it is closed.
    ///
    /// # Errors
    ///
    /// Returns the transport's error if the process can't be reached within 500 ms, or if it
    /// belongs to another cluster.
    pub async fn client(&self, address: &str) -> Result<Arc<WsClient>, Error> {
        if let Some(client) = self.open_client(address) {
            return Ok(client);
        }
        match connect(address, &self.cluster).await {
            Ok(client) => {
                let client = Arc::new(client);
                self.insert(address, client.clone());
                Ok(client)
            }
            Err(error) => {
                if is_other_cluster(&error) && self.refusing.insert(address) {
                    warn!(
                        "gossip: the process at {address} belongs to another cluster and refuses \
                         this process of cluster {}; its log names both clusters",
                        self.cluster
                    );
                }
                Err(error)
            }
        }
    }

    /// Removes the connection to `address` from the pool, so that the next use opens a new one.
    pub fn drop_client(&self, address: &str) {
        let mut clients = self
            .clients
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        if let Ok(index) = clients.binary_search_by(|(known, _)| known.as_str().cmp(address)) {
            clients.remove(index);
        }
    }

    /// Removes `client` from the pool if it is still the connection to `address`.
    ///
    /// Requests that share a silent connection time out one after the other. The later ones must
    /// not remove the new connection that the first one has already opened.
    pub fn drop_if_current(&self, address: &str, client: &Arc<WsClient>) {
        let mut clients = self
            .clients
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        if let Ok(index) = clients.binary_search_by(|(known, _)| known.as_str().cmp(address))
            && Arc::ptr_eq(&clients[index].1, client)
        {
            clients.remove(index);
        }
    }

    fn open_client(&self, address: &str) -> Option<Arc<WsClient>> {
        let clients = self
            .clients
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        let index = clients
            .binary_search_by(|(known, _)| known.as_str().cmp(address))
            .ok()?;
        let client = &clients[index].1;
        client.is_connected().then(|| client.clone())
    }

    fn insert(&self, address: &str, client: Arc<WsClient>) {
        let mut clients = self
            .clients
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        match clients.binary_search_by(|(known, _)| known.as_str().cmp(address)) {
            Ok(index) => clients[index].1 = client,
            Err(index) => clients.insert(index, (address.to_owned(), client)),
        }
    }
}

/// Opens a connection with keepalive pings, which names `cluster`.
async fn connect(address: &str, cluster: &str) -> Result<WsClient, Error> {
    let name = HeaderValue::from_str(cluster).map_err(|error| Error::Custom(error.to_string()))?;
    let mut headers = HeaderMap::new();
    headers.insert(CLUSTER_HEADER, name);
    let ping = PingConfig::new()
        .ping_interval(Duration::from_millis(PING_INTERVAL_MS))
        .inactive_limit(Duration::from_millis(INACTIVE_LIMIT_MS))
        .max_failures(1);
    let builder = WsClientBuilder::default()
        .connection_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .request_timeout(Duration::from_millis(REQUEST_TIMEOUT_MS))
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .set_headers(headers)
        .enable_ws_ping(ping);
    let connecting = builder.build(format!("ws://{address}"));
    match tokio::time::timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connecting).await {
        Ok(result) => result,
        Err(_) => Err(Error::RequestTimeout),
    }
}

/// Returns whether the other process refused the connection because of its cluster.
fn is_other_cluster(error: &Error) -> bool {
    let Error::Transport(cause) = error else {
        return false;
    };
    let refused = StatusCode::MISDIRECTED_REQUEST.as_u16();
    matches!(
        cause.downcast_ref::<WsHandshakeError>(),
        Some(WsHandshakeError::Rejected { status_code }) if *status_code == refused
    )
}
