use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tower::ServiceExt;

use super::ConnectionCut;
use super::FaultSwitches;
use super::ServerMode;

/// The length of the queue of connections that are not yet accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// The HTTP server of a stand-in. It stops when the value is dropped.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    faults: Arc<FaultSwitches>,
    task: AbortHandle,
}

impl StandinServer {
    /// Starts a server of `router` at `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        faults: Arc<FaultSwitches>,
        router: Router,
    ) -> io::Result<StandinServer> {
        let listener = bind(address)?.listen(LISTEN_BACKLOG)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(serve_modes(address, listener, faults.clone(), router));
        Ok(StandinServer {
            address,
            faults,
            task: task.abort_handle(),
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

    /// Returns the fault switches.
    pub fn faults(&self) -> &Arc<FaultSwitches> {
        &self.faults
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves connections while the mode is not `Down`.
///
/// While the mode is `Down`, the port stays bound without listening, so connections are refused and
/// no other socket can take the port.
async fn serve_modes(
    address: SocketAddr,
    mut listener: TcpListener,
    faults: Arc<FaultSwitches>,
    router: Router,
) -> io::Result<()> {
    let mut plan = faults.subscribe();
    loop {
        tokio::select! {
            () = serve_connections(&listener, &router) => {}
            _ = plan.wait_for(|plan| plan.mode == ServerMode::Down) => {}
        }
        drop(listener);
        let socket = bind(address)?;
        // The wait can't fail, since `faults` owns the sender.
        let _ = plan.wait_for(|plan| plan.mode != ServerMode::Down).await;
        listener = socket.listen(LISTEN_BACKLOG)?;
    }
}

/// Accepts connections indefinitely. Dropping the future closes them all.
async fn serve_connections(listener: &TcpListener, router: &Router) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                // An accept error affects one connection, which is already closed.
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, router.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router) {
    // Nagle's algorithm would add delays to the measured latencies.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let router = router.clone();
        async move { answer(router, request).await }
    });
    // A connection error affects only its client.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(router: Router, request: Request<Incoming>) -> io::Result<Response> {
    let request = request.map(Body::new);
    let response = match router.oneshot(request).await {
        Ok(response) => response,
        Err(never) => match never {},
    };
    match response.extensions().get::<ConnectionCut>() {
        Some(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        None => Ok(response),
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
