use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use dandelionroad_clients::host::HostEntry;

use crate::server::FaultSwitches;
use crate::server::StandinServer;

/// A running host list, which `PUT /hosts` or [`HostStandin::set`] replaces as a whole.
#[derive(Debug)]
pub struct HostStandin {
    server: StandinServer,
    state: Arc<HostState>,
}

#[derive(Debug, Default)]
struct HostState {
    faults: Arc<FaultSwitches>,
    lists: Mutex<HostLists>,
}

#[derive(Debug, Default)]
struct HostLists {
    current: Vec<HostEntry>,
    /// What readers get; not updated while the list lags.
    visible: Vec<HostEntry>,
}

impl HostStandin {
    /// Starts an empty host list at `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<HostStandin> {
        let state = Arc::new(HostState::default());
        let router = Router::new()
            .route("/hosts", get(read).put(write))
            .with_state(state.clone());
        let server = StandinServer::start(address, state.faults.clone(), router).await?;
        Ok(HostStandin { server, state })
    }

    /// Replaces the list; readers see it unless the list lags.
    pub fn set(&self, hosts: Vec<HostEntry>) {
        self.state.set(hosts);
    }

    /// Changes the list in place; readers see it unless the list lags.
    pub fn change(&self, edit: impl FnOnce(&mut Vec<HostEntry>)) {
        let mut hosts = self.state.lock().current.clone();
        edit(&mut hosts);
        self.state.set(hosts);
    }
}

impl Deref for HostStandin {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}

impl HostState {
    fn set(&self, hosts: Vec<HostEntry>) {
        let lags = self.faults.plan().lags;
        let mut lists = self.lock();
        if !lags {
            lists.visible = hosts.clone();
        }
        lists.current = hosts;
    }

    fn lock(&self) -> MutexGuard<'_, HostLists> {
        self.lists
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

async fn read(State(state): State<Arc<HostState>>) -> Json<Vec<HostEntry>> {
    state.faults.before_request().await;
    let lags = state.faults.plan().lags;
    let hosts = {
        let mut lists = state.lock();
        if !lags {
            lists.visible = lists.current.clone();
        }
        lists.visible.clone()
    };
    state.faults.after_request().await;
    Json(hosts)
}

async fn write(
    State(state): State<Arc<HostState>>,
    Json(hosts): Json<Vec<HostEntry>>,
) -> StatusCode {
    state.set(hosts);
    StatusCode::NO_CONTENT
}
