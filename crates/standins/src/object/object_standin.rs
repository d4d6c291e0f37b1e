use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::Mutex;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use bytes::Bytes;

use crate::server::ConnectionCut;
use crate::server::FaultSwitches;
use crate::server::StandinServer;

/// The maximum size of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

/// A running object store.
#[derive(Debug)]
pub struct ObjectStandin {
    server: StandinServer,
}

#[derive(Debug, Default)]
struct ObjectState {
    faults: Arc<FaultSwitches>,
    /// The objects, sorted by key.
    objects: Mutex<Vec<(String, Bytes)>>,
}

impl ObjectStandin {
    /// Starts an empty object store at `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<ObjectStandin> {
        let state = Arc::new(ObjectState::default());
        let router = Router::new()
            .route("/objects/{*key}", get(read).put(write))
            .layer(DefaultBodyLimit::max(MAX_OBJECT_BYTES))
            .with_state(state.clone());
        let server = StandinServer::start(address, state.faults.clone(), router).await?;
        Ok(ObjectStandin { server })
    }
}

impl Deref for ObjectStandin {
    type Target = StandinServer;

    fn deref(&self) -> &StandinServer {
        &self.server
    }
}

async fn write(
    State(state): State<Arc<ObjectState>>,
    Path(key): Path<String>,
    content: Bytes,
) -> Result<StatusCode, ConnectionCut> {
    state.faults.before_write().await?;
    {
        let objects = state.objects.lock();
        let mut objects = objects.unwrap_or_else(|poison| poison.into_inner());
        match objects.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(index) => objects[index].1 = content,
            Err(index) => objects.insert(index, (key, content)),
        }
    }
    state.faults.after_write().await?;
    Ok(StatusCode::OK)
}

async fn read(State(state): State<Arc<ObjectState>>, Path(key): Path<String>) -> Response {
    state.faults.before_request().await;
    let content = {
        let objects = state.objects.lock();
        let objects = objects.unwrap_or_else(|poison| poison.into_inner());
        let found = objects.binary_search_by(|(known, _)| known.cmp(&key));
        found.ok().map(|index| objects[index].1.clone())
    };
    state.faults.after_request().await;
    match content {
        Some(content) => content.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}
