use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::CallerLimits;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::internal_server::accept_stream;
use crate::node::NodeState;

use super::activity_phase::ActivityPhase;
use super::caller_activity::CallerActivity;
use super::guarded_body::GuardedBody;
use super::request_body::RequestBody;
use super::request_guard::RequestGuard;
use super::request_handler::handle_request;
use super::watched_stream::WatchedStream;

/// The minimum size of a connection's buffer, in bytes.
///
/// The library keeps to the size that was set when the connection was opened, so it leaves room for a limit on heads that
/// is raised later; the limit in force is checked for each request.
const MIN_BUFFER_BYTES: usize = 65_536;

/// The maximum time between two checks of a connection's time-outs, in milliseconds.
///
/// A limit that was lowered, and a head that has begun, are noticed with this delay. With shorter ones, an entry with
/// hundreds of idle connections wakes for them more often than for requests.
const CHECK_INTERVAL_MS: u64 = 10_000;

/// The cause of a failure in logs and metrics.
const CALLER_CLOSED: &str = "caller closed within a request";

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
                let connection = serve_watched(Rc::clone(&state), stream, close_signal.clone());
                let guard = ConnectionGuard { count, ended };
                spawn_local(async move {
                    connection.await;
                    drop(guard);
                });
            }
        });
        server
    }

    /// Closes each open connection after its current request, and after the requests behind it if the answer to the
    /// current one has begun; new connections serve one request each.
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

/// Serves a connection until it ends or its caller leaves within a request.
///
/// The library doesn't see the end of a connection behind a request that it has not begun. A task of its own waits for
/// it, as the one that serves the connection wakes for each piece of an answer.
async fn serve_watched(
    state: Rc<NodeState>,
    stream: TcpStream,
    close_signal: watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("callers: can't set TCP_NODELAY: {error}");
    }
    let activity = CallerActivity::new(state.clock);
    let stream = WatchedStream::new(stream, Rc::clone(&activity));
    let caller_left = stream.caller_left();
    let mut serving = spawn_local(serve(Rc::clone(&state), stream, activity, close_signal));
    tokio::select! {
        biased;
        // A panic ends the connection, and is reported by the runtime.
        _ = &mut serving => {}
        () = caller_left => {
            serving.abort();
            state.metrics.count_connection_failure(CALLER_CLOSED);
            spdlog::info!("callers: connection failed: {CALLER_CLOSED}");
        }
    }
}

async fn serve(
    state: Rc<NodeState>,
    stream: WatchedStream,
    activity: Rc<CallerActivity>,
    mut close_signal: watch::Receiver<bool>,
) {
    let (own, own_activity) = (Rc::clone(&state), Rc::clone(&activity));
    let closing = close_signal.clone();
    let service = service_fn(move |request| {
        let state = Rc::clone(&own);
        let guard = RequestGuard::new(Rc::clone(&own_activity));
        let body_guard = RequestGuard::new(Rc::clone(&own_activity));
        let request = RequestBody::wrap(request, body_guard, caller_limits(&state));
        let closing = closing.clone();
        async move {
            let mut response = handle_request(state, request).await;
            if *closing.borrow() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let mut is_closing = *close_signal.borrow();
    let connection = http1::Builder::new()
        .keep_alive(!is_closing)
        // The library would keep to the limits that were in force when the connection was opened.
        .header_read_timeout(None)
        .max_buf_size(caller_limits(&state).header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut check = std::pin::pin!(tokio::time::sleep(next_check(&state, &activity)));
    loop {
        tokio::select! {
            // Bytes that have arrived are read before the time-out is checked.
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    record_failure(&state, &error);
                }
                return;
            }
            signal = close_signal.wait_for(|is_closing| *is_closing), if !is_closing => {
                is_closing = true;
                // A request that waits behind the current one is answered, too.
                if signal.is_ok() && activity.phase() != ActivityPhase::Request {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = activity.wait_idle(), if is_closing => connection.as_mut().graceful_shutdown(),
            () = check.as_mut() => {
                let wait = next_check(&state, &activity);
                if wait.is_zero() {
                    record_timeout(&state, activity.phase());
                    return;
                }
                check.as_mut().reset(Instant::now() + wait);
            }
        }
    }
}

/// Returns the limits of callers that are in force.
fn caller_limits(state: &NodeState) -> CallerLimits {
    let view = state.view.borrow();
    let config = view.config.as_ref();
    config.map(|config| config.limits).unwrap_or_default()
}

/// Returns the time until the next check of a connection's time-outs; zero if one has passed.
fn next_check(state: &NodeState, activity: &CallerActivity) -> Duration {
    let now = state.clock.now();
    let close_time = activity.close_time(&caller_limits(state));
    let wait_ms = close_time.map_or(CHECK_INTERVAL_MS, |time| time.since(now));
    Duration::from_millis(wait_ms.min(CHECK_INTERVAL_MS))
}

/// Counts a connection that is closed by a time-out.
///
/// The end of an idle connection is regular, and is only counted.
fn record_timeout(state: &NodeState, phase: ActivityPhase) {
    let cause = match phase {
        ActivityPhase::Idle | ActivityPhase::Request => "idle",
        ActivityPhase::Head => "slow head",
    };
    state.metrics.count_connection_failure(cause);
    if phase == ActivityPhase::Head {
        spdlog::info!("callers: connection failed: {cause}");
    }
}

/// Counts and logs the failure of a caller's connection.
fn record_failure(state: &NodeState, error: &hyper::Error) {
    let cause = failure_cause(error);
    state.metrics.count_connection_failure(cause);
    spdlog::info!("callers: connection failed: {cause}", kv: { detail = error.to_string() });
}

/// Returns the cause of a connection's failure, as it appears in logs and metrics.
fn failure_cause(error: &hyper::Error) -> &'static str {
    if error.is_parse() {
        "malformed request"
    } else if error.is_incomplete_message() {
        CALLER_CLOSED
    } else if error.is_user() {
        "response broke off"
    } else {
        "transport"
    }
}
