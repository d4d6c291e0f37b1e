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

use super::request_handler::handle;

/// The least buffer that the HTTP library accepts, in bytes.
const LEAST_BUFFER: usize = 8_192;

/// The connections of callers.
pub struct CallerServer {
    closing: watch::Sender<bool>,
    open: Rc<Cell<usize>>,
    ended: Rc<Notify>,
}

impl CallerServer {
    /// Starts to accept connections.
    pub fn start(state: Rc<NodeState>, listener: TcpListener) -> CallerServer {
        let (closing, closed) = watch::channel(false);
        let server = CallerServer {
            closing,
            open: Rc::new(Cell::new(0)),
            ended: Rc::new(Notify::new()),
        };
        let open = Rc::clone(&server.open);
        let ended = Rc::clone(&server.ended);
        spawn_local(async move {
            loop {
                let stream = accept_stream(&listener, "callers").await;
                open.set(open.get() + 1);
                let (open, ended) = (Rc::clone(&open), Rc::clone(&ended));
                let connection = serve(Rc::clone(&state), stream, closed.clone());
                spawn_local(async move {
                    connection.await;
                    open.set(open.get() - 1);
                    ended.notify_one();
                });
            }
        });
        server
    }

    /// Closes each open connection after the request that it carries; new ones carry one request.
    ///
    /// While all processes of a zone are replaced, the balancer still sends connections to those that
    /// are leaving.
    pub fn close(&self) {
        // No receiver is left only if all connections have ended.
        self.closing.send_replace(true);
    }

    /// Waits until all connections have ended.
    pub async fn wait_drained(&self) {
        while self.open.get() > 0 {
            self.ended.notified().await;
        }
    }
}

async fn serve(state: Rc<NodeState>, stream: TcpStream, mut closed: watch::Receiver<bool>) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("callers: can't send small pieces at once: {error}");
    }
    let limits = {
        let view = state.view.borrow();
        view.config
            .as_ref()
            .map(|config| config.limits)
            .unwrap_or_default()
    };
    let service = service_fn(move |request| {
        let state = Rc::clone(&state);
        async move { Ok::<_, Infallible>(handle(state, request).await) }
    });
    let is_closing = *closed.borrow();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!is_closing)
        // The library's time for a request's head also runs while a connection is idle.
        .header_read_timeout(Duration::from_millis(
            limits.idle_timeout_ms.max(limits.header_timeout_ms),
        ))
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = loop {
        if is_closing {
            break connection.await;
        }
        if *closed.borrow() {
            connection.as_mut().graceful_shutdown();
            break connection.await;
        }
        tokio::select! {
            result = connection.as_mut() => break result,
            changed = closed.changed() => {
                if changed.is_err() {
                    break connection.await;
                }
            }
        }
    };
    if let Err(error) = result {
        spdlog::debug!("callers: connection ended: {error}");
    }
}
