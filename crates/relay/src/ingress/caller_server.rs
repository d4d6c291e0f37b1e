use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::internal_server::accept_stream;
use crate::node::NodeState;

use super::request_handler::handle_request;

/// The minimum buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// The HTTP server for callers.
pub struct CallerServer {
    /// Tells the connections whether the server is closing.
    closing: watch::Sender<bool>,
    connection_count: Rc<Cell<usize>>,
    connection_ended: Rc<Notify>,
}

impl CallerServer {
    /// Starts a task that accepts connections.
    pub fn start(state: Rc<NodeState>, listener: TcpListener) -> CallerServer {
        let (closing, close_signal) = watch::channel(false);
        let server = CallerServer {
            closing,
            connection_count: Rc::new(Cell::new(0)),
            connection_ended: Rc::new(Notify::new()),
        };
        let count = Rc::clone(&server.connection_count);
        let ended = Rc::clone(&server.connection_ended);
        spawn_local(async move {
            loop {
                let stream = accept_stream(&listener, "callers").await;
                count.set(count.get() + 1);
                let (count, ended) = (Rc::clone(&count), Rc::clone(&ended));
                let connection = serve(Rc::clone(&state), stream, close_signal.clone());
                let guard = ConnectionGuard { count, ended };
                spawn_local(async move {
                    connection.await;
                    drop(guard);
                });
            }
        });
        server
    }

    /// Closes each open connection after its current request; new connections serve one request each.
    ///
    /// New connections are still served, because the load balancer sends them to stopping processes while
    /// all processes of a zone are replaced.
    pub fn close(&self) {
        // There may be no receiver left, if all connections have ended.
        self.closing.send_replace(true);
    }

    /// Waits until all connections have ended.
    pub async fn wait_drained(&self) {
        while self.connection_count.get() > 0 {
            self.connection_ended.notified().await;
        }
    }
}

/// Counts a connection as open until the guard is dropped, also if the connection's task panics.
struct ConnectionGuard {
    count: Rc<Cell<usize>>,
    ended: Rc<Notify>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        self.ended.notify_one();
    }
}

async fn serve(state: Rc<NodeState>, stream: TcpStream, mut close_signal: watch::Receiver<bool>) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("callers: can't set TCP_NODELAY: {error}");
    }
    let limits = {
        let view = state.view.borrow();
        view.config
            .as_ref()
            .map(|config| config.limits)
            .unwrap_or_default()
    };
    let own = Rc::clone(&state);
    let service = service_fn(move |request| {
        let state = Rc::clone(&own);
        async move { Ok::<_, Infallible>(handle_request(state, request).await) }
    });
    let is_closing = *close_signal.borrow();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!is_closing)
        // The library has one time-out for receiving the head of a request and for an idle connection, so
        // the longer of the configured header and idle time-outs applies to both.
        .header_read_timeout(Duration::from_millis(
            limits.idle_timeout_ms.max(limits.header_timeout_ms),
        ))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = loop {
        if is_closing {
            break connection.await;
        }
        if *close_signal.borrow() {
            connection.as_mut().graceful_shutdown();
            break connection.await;
        }
        tokio::select! {
            result = connection.as_mut() => break result,
            changed = close_signal.changed() => {
                if changed.is_err() {
                    break connection.await;
                }
            }
        }
    };
    if let Err(error) = result {
        record_failure(&state, &error);
    }
}

/// Counts and logs the failure of a caller's connection.
///
/// Its end by the idle time-out is regular, and is only counted.
fn record_failure(state: &NodeState, error: &hyper::Error) {
    let cause = failure_cause(error);
    state.metrics.count_connection_failure(cause);
    if !error.is_timeout() {
        spdlog::info!("callers: connection failed: {cause}", kv: { detail = error.to_string() });
    }
}

/// Returns the cause of a connection's failure, as it appears in logs and metrics.
fn failure_cause(error: &hyper::Error) -> &'static str {
    if error.is_timeout() {
        "idle"
    } else if error.is_parse() {
        "malformed request"
    } else if error.is_incomplete_message() {
        "caller closed within a request"
    } else if error.is_user() {
        "response broke off"
    } else {
        "transport"
    }
}
