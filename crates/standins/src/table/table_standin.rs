use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use dandelionroad_clients::table::CommitReply;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_clients::table::TableRow;
use serde::Deserialize;
use serde_json::json;

use crate::server::ConnectionCut;
use crate::server::FaultSwitches;
use crate::server::StandinServer;

use super::RowStore;
use super::TableCounts;

/// The maximum number of rows that a scan returns.
const MAX_SCAN_ROWS: u32 = 1_000;

/// A running table service.
#[derive(Debug)]
pub struct TableStandin {
    server: StandinServer,
    state: Arc<TableState>,
}

#[derive(Debug, Default)]
struct TableState {
    faults: Arc<FaultSwitches>,
    store: Mutex<(RowStore, TableCounts)>,
}

#[derive(Deserialize)]
struct ScanQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    #[serde(default = "default_limit")]
    limit: u32,
}

fn default_limit() -> u32 {
    MAX_SCAN_ROWS
}

impl TableStandin {
    /// Starts an empty table service at `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<TableStandin> {
        let state = Arc::new(TableState::default());
        let router = Router::new()
            .route("/table/commit", post(commit))
            .route("/table/row/{*key}", get(read))
            .route("/table/scan", get(scan))
            .with_state(state.clone());
        let server = StandinServer::start(address, state.faults.clone(), router).await?;
        Ok(TableStandin { server, state })
    }

    /// Returns the numbers of requests handled so far.
    pub fn counts(&self) -> TableCounts {
        self.state.lock().1
    }

    /// Returns all rows whose keys start with `prefix`. Injected faults do not apply.
    pub fn rows(&self, prefix: &str) -> Vec<TableRow> {
        self.state.lock().0.scan(prefix, "", usize::MAX).to_vec()
    }

    /// Commits a transaction. Injected faults do not apply, and the commit is not counted.
    pub fn commit(&self, commit: &TableCommit) -> CommitReply {
        self.state.lock().0.commit(commit)
    }
}

impl Deref for TableStandin {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}

impl TableState {
    fn lock(&self) -> MutexGuard<'_, (RowStore, TableCounts)> {
        self.store
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

async fn commit(
    State(state): State<Arc<TableState>>,
    Json(commit): Json<TableCommit>,
) -> Result<Response, ConnectionCut> {
    state.faults.before_write().await?;
    let response = {
        let mut store = state.lock();
        match store.0.commit(&commit) {
            CommitReply::Committed => {
                store.1.commits += 1;
                let version = store.0.last_version();
                let versions = vec![version; commit.writes.len()];
                Json(json!({"versions": versions})).into_response()
            }
            CommitReply::Conflict { key } => {
                store.1.conflicts += 1;
                (StatusCode::CONFLICT, Json(json!({"key": key}))).into_response()
            }
        }
    };
    state.faults.after_write().await?;
    Ok(response)
}

async fn read(State(state): State<Arc<TableState>>, Path(key): Path<String>) -> Response {
    state.faults.before_request().await;
    let row = {
        let mut store = state.lock();
        store.1.reads += 1;
        store.0.get(&key).cloned()
    };
    state.faults.after_request().await;
    match row {
        Some(row) => Json(row).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn scan(
    State(state): State<Arc<TableState>>,
    Query(query): Query<ScanQuery>,
) -> Json<Vec<TableRow>> {
    state.faults.before_request().await;
    let rows = {
        let mut store = state.lock();
        store.1.scans += 1;
        let limit = query.limit.min(MAX_SCAN_ROWS) as usize;
        store.0.scan(&query.prefix, &query.after, limit).to_vec()
    };
    state.faults.after_request().await;
    Json(rows)
}
