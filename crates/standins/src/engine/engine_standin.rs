use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Router;
use dandelionroad_clients::engine::EngineState;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tower::ServiceExt;

use super::EngineFaults;
use super::EngineOptions;
use super::EngineStats;
use super::StepRecord;
use super::batch_loop::run_batches;
use super::engine_routes::new_router;
use super::engine_shared::EngineShared;

/// A running engine stand-in, which stops when the value is dropped.
pub struct EngineStandin {
    address: SocketAddr,
    shared: Arc<EngineShared>,
    tasks: Vec<JoinHandle<()>>,
}

impl EngineStandin {
    /// Binds the listener and starts the engine.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the address can't be bound.
    pub async fn start(options: EngineOptions) -> io::Result<EngineStandin> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let shared = Arc::new(EngineShared::new(options, started));
        let tasks = vec![
            tokio::spawn(run_batches(shared.clone())),
            tokio::spawn(serve(listener, address, shared.clone())),
        ];
        Ok(EngineStandin {
            address,
            shared,
            tasks,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> EngineFaults {
        self.shared.faults.borrow().clone()
    }

    /// Crashes the engine: connections break, its memory is lost, and it restarts after a while.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Returns the counters.
    pub fn stats(&self) -> EngineStats {
        self.shared.memory().stats.clone()
    }

    /// Returns what the engine holds.
    pub fn state(&self) -> EngineState {
        self.shared.memory().state.clone()
    }

    /// Returns the first 100,000 steps that ran, in order.
    pub fn step_records(&self) -> Vec<StepRecord> {
        self.shared.memory().step_records.clone()
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Serves connections, and closes them and the listener for a while after each crash.
async fn serve(mut listener: TcpListener, address: SocketAddr, shared: Arc<EngineShared>) {
    let router = new_router(shared.clone());
    let mut started = shared.started.subscribe();
    loop {
        serve_until_crash(&listener, &router, &mut started).await;
        drop(listener);
        tokio::time::sleep(Duration::from_millis(shared.options.restart_ms)).await;
        listener = loop {
            match TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        };
    }
}

async fn serve_until_crash(
    listener: &TcpListener,
    router: &Router,
    started: &mut watch::Receiver<u64>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = started.changed() => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, router.clone()));
                }
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router) {
    // Without this, small messages wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let service =
        service_fn(move |request: hyper::Request<Incoming>| router.clone().oneshot(request));
    // A connection that breaks concerns its client only.
    let _ = Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
