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
use super::engine_context::EngineContext;
use super::engine_routes::new_router;

/// A running engine stand-in. It stops when the value is dropped.
pub struct EngineStandin {
    address: SocketAddr,
    context: Arc<EngineContext>,
    tasks: Vec<JoinHandle<()>>,
}

impl EngineStandin {
    /// Starts an engine and its listener.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub async fn start(options: EngineOptions) -> io::Result<EngineStandin> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let context = Arc::new(EngineContext::new(options, started));
        let tasks = vec![
            tokio::spawn(run_batches(context.clone())),
            tokio::spawn(serve(listener, address, context.clone())),
        ];
        Ok(EngineStandin {
            address,
            context,
            tasks,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.context.faults.send_replace(faults);
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> EngineFaults {
        self.context.faults.borrow().clone()
    }

    /// Crashes the engine: its connections close, its sessions, queue and prefix cache are lost,
    /// and it restarts after `restart_ms`.
    pub fn crash(&self) {
        self.context.crash();
    }

    /// Returns the counters since the start, which a crash does not reset.
    pub fn stats(&self) -> EngineStats {
        self.context.memory().stats.clone()
    }

    /// Returns the state that the engine reports: which part of a model it holds.
    pub fn state(&self) -> EngineState {
        self.context.memory().state.clone()
    }

    /// Returns the steps that ran, in order, up to the first 100,000.
    pub fn step_records(&self) -> Vec<StepRecord> {
        self.context.memory().step_records.clone()
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Serves connections; after each crash, closes them and the listener for `restart_ms`.
async fn serve(mut listener: TcpListener, address: SocketAddr, context: Arc<EngineContext>) {
    let router = new_router(context.clone());
    let mut started = context.started.subscribe();
    loop {
        serve_until_crash(&listener, &router, &mut started).await;
        drop(listener);
        tokio::time::sleep(Duration::from_millis(context.options.restart_ms)).await;
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
    // With Nagle's algorithm a small message waits for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let service =
        service_fn(move |request: hyper::Request<Incoming>| router.clone().oneshot(request));
    // A connection error affects only its client.
    let _ = Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
