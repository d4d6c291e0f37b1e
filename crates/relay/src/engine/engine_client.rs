use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::relay::ByteSource;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::ext::on_informational;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::memory::BodyPieces;
use crate::memory::ByteBudget;
use crate::memory::HeldBytes;
use crate::memory::ReadFault;
use crate::memory::read_bounded;
use crate::wire::EncodedCall;

use super::AnswerCount;
use super::AnswerOrigin;
use super::SendError;
use super::engine_connector::EngineConnector;

/// The time for which an idle connection is kept, in milliseconds.
///
/// Engines close idle connections after some seconds. With a shorter time here, a request is not sent over
/// a connection that the engine is closing.
const IDLE_TIMEOUT_MS: u64 = 1_500;

/// The maximum size of a body that is read as a whole, in bytes.
///
/// Answers of plain services, reports and lists of engines are smaller. Without a limit, an answer without
/// end fills the memory of the process.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The maximum size of the library's buffer for a connection, in bytes.
///
/// It bounds the head of a response, and what is read of a body ahead of its reader.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// The maximum number of responses with a status below 200 before the final one.
///
/// The HTTP library skips them, so an engine that sends them without end would keep the process busy until
/// the deadline.
const MAX_INTERIM_RESPONSES: usize = 16;

type HttpClient = Client<EngineConnector, Full<Bytes>>;

/// The HTTP client of engines, endpoints and other relay processes.
#[derive(Debug)]
pub struct EngineClient {
    /// Reuses connections; it retries a request on a new connection if an idle one turns out to be closed
    /// before the request was read.
    pooled: HttpClient,
    /// Opens a connection for each request, so that a request is never sent twice.
    single: HttpClient,
    /// The budget of the answers.
    memory: ByteBudget,
}

impl EngineClient {
    /// Creates a client without open connections, whose answers are charged to a budget.
    pub fn new(memory: ByteBudget) -> EngineClient {
        let mut pooled = Client::builder(TokioExecutor::new());
        pooled.pool_timer(TokioTimer::new());
        pooled.pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS));
        pooled.http1_max_buf_size(MAX_BUFFER_BYTES);
        let mut single = Client::builder(TokioExecutor::new());
        single.http1_max_buf_size(MAX_BUFFER_BYTES);
        single.pool_max_idle_per_host(0);
        single.retry_canceled_requests(false);
        let connector = EngineConnector::new(memory.clone());
        EngineClient {
            pooled: pooled.build(connector.clone()),
            single: single.build(connector),
            memory,
        }
    }

    /// Sends a request and returns the response once its head has arrived, with an [`AnswerOrigin`] as an
    /// extension.
    ///
    /// Dropping the future, or the body of the response, closes the connection, upon which the engine stops
    /// the request. With `is_once`, the request gets a connection of its own, so that it runs at most once.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if nothing was sent, otherwise [`SendError::Broken`].
    pub fn send(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        is_once: bool,
    ) -> impl Future<Output = Result<Response<Incoming>, SendError>> + use<> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body));
        let client = match is_once {
            true => self.single.clone(),
            false => self.pooled.clone(),
        };
        async move {
            let mut request = request.map_err(|error| SendError::NotSent {
                detail: error.to_string(),
                is_refused: false,
            })?;
            *request.headers_mut() = headers;
            let excess = limit_interim_responses(&mut request);
            let connection = capture_connection(&mut request);
            let response = tokio::select! {
                biased;
                response = client.request(request) => response,
                () = excess.notified() => {
                    let detail = "too many interim responses".to_owned();
                    return Err(SendError::Broken { detail });
                }
            };
            let mut response = response.map_err(|error| {
                let detail = format!("{error:?}");
                match error.is_connect() {
                    true => SendError::NotSent {
                        detail,
                        is_refused: is_refused(&error),
                    },
                    false => SendError::Broken { detail },
                }
            })?;
            let answers = response.extensions().get::<AnswerCount>();
            let is_first = answers.is_some_and(AnswerCount::record_answer);
            let origin = AnswerOrigin::new(is_first, connection);
            response.extensions_mut().insert(origin);
            Ok(response)
        }
    }

    /// Sends a control request and returns the status and body of the response.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no complete response within `wait_ms`. The request may have been
    /// carried out nevertheless.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: EncodedCall,
        wait_ms: u64,
    ) -> Result<(u16, Bytes), String> {
        let mut headers = call.headers;
        if !call.body.is_empty() {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        let method =
            Method::from_bytes(call.method.as_bytes()).map_err(|error| error.to_string())?;
        let sent = self.send(address, &method, &call.path, headers, call.body, true);
        let exchange = async {
            let response = sent.await.map_err(|error| error.to_string())?;
            let status = response.status().as_u16();
            let held = self.memory.hold(ByteSource::Server(address));
            let read = read_whole(response.into_body(), held).await;
            let (body, held) = read.map_err(|error| error.to_string())?;
            let body = held.into_bytes(body.into_bytes());
            Ok((status, body.ok_or("no memory is left for the answer")?))
        };
        match tokio::time::timeout(Duration::from_millis(wait_ms), exchange).await {
            Ok(result) => result,
            Err(_) => Err("no answer in time".to_owned()),
        }
    }
}

/// Reads a body of an engine to its end, charged to `held`, which is returned with it.
///
/// Dropping the future closes the connection.
///
/// # Errors
///
/// Returns an error if the body breaks off, exceeds 8 MiB, or is ended by the budget. The connection is closed and not
/// used again.
pub async fn read_whole(
    body: Incoming,
    held: HeldBytes,
) -> Result<(BodyPieces, HeldBytes), ReadFault> {
    let has_length = body.size_hint().exact().is_some();
    let read = async move {
        let pieces = read_bounded(body, MAX_BODY_BYTES, &held).await?;
        Ok((pieces, held))
    };
    if has_length {
        return read.await;
    }
    // The body may come in chunks of a few bytes, each of which wakes the task that reads it. A task of its own does
    // only that, and ends with the set.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(read);
    match tasks.join_next().await {
        Some(Ok(read)) => read,
        ended => Err(ReadFault::Broken {
            detail: format!("the reader ended: {ended:?}"),
        }),
    }
}

/// Notifies the returned handle when the responses to a request that are not final exceed their limit.
fn limit_interim_responses(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let excess = Arc::new(Notify::new());
    let count = AtomicUsize::new(0);
    let notified = Arc::clone(&excess);
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            notified.notify_one();
        }
    });
    excess
}

/// Returns whether the cause of an error is a refused connection.
fn is_refused(error: &dyn Error) -> bool {
    let mut cause = error.source();
    while let Some(next) = cause {
        let io_error = next.downcast_ref::<std::io::Error>();
        if io_error.is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = next.source();
    }
    false
}
