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

/// A running host list. `PUT /hosts` or [`HostStandin::set`] replaces the whole list.
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
    /// The list returned to readers, which is not updated while [`FaultPlan::lags`] is set.
    ///
    /// [`FaultPlan::lags`]: crate::server::FaultPlan::lags
    visible: Vec<HostEntry>,
}

impl HostStandin {
    /// Starts an empty host list at `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<HostStandin> {
        let state = Arc::new(HostState::default());
        let router = Router::new()
            .route("/hosts", get(read).put(write))
            .with_state(state.clone());
        let server = StandinServer::start(address, state.faults.clone(), router).await?;
        Ok(HostStandin { server, state })
    }

    /// Replaces the list. Readers see the new list unless `lags` is set.
    pub fn set(&self, hosts: Vec<HostEntry>) {
        self.state.set(hosts);
    }

    /// Edits the list. Readers see the change unless `lags` is set.
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
