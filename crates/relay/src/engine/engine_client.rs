use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

use crate::wire::EncodedCall;

use super::SendError;

/// The longest time to open a connection, in milliseconds.
///
/// Engines are at most one availability zone away and take a connection within two milliseconds; a
/// lost packet is sent again after some hundred.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// How long an unused connection is kept, in milliseconds.
///
/// Engines close idle connections after some seconds; a shorter time here avoids that a request
/// meets such a close.
const IDLE_TIMEOUT_MS: u64 = 1_500;

/// How long sent bytes may stay unacknowledged before a connection counts as dead, in milliseconds.
const UNACKED_TIMEOUT_MS: u64 = 3_000;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The client of all engines and endpoints.
#[derive(Debug)]
pub struct EngineClient {
    /// Keeps connections; a request that meets a closed one may be sent again before it was read.
    pooled: HttpClient,
    /// Opens a connection for each request, so that only a failure to connect precedes sending.
    single: HttpClient,
}

impl EngineClient {
    /// Creates a client without connections.
    pub fn new() -> EngineClient {
        let mut pooled = Client::builder(TokioExecutor::new());
        pooled.pool_timer(TokioTimer::new());
        pooled.pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS));
        let mut single = Client::builder(TokioExecutor::new());
        single.pool_max_idle_per_host(0);
        single.retry_canceled_requests(false);
        EngineClient {
            pooled: pooled.build(connector()),
            single: single.build(connector()),
        }
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// Dropping the future, or the body of the answer, closes the connection, at which the engine
    /// stops its work. A request that may run once gets a connection of its own.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if nothing was sent.
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
            client.request(request).await.map_err(|error| {
                let detail = format!("{error:?}");
                match error.is_connect() {
                    true => SendError::NotSent {
                        detail,
                        is_refused: is_refused(&error),
                    },
                    false => SendError::Broken { detail },
                }
            })
        }
    }

    /// Sends a call of dandelionroad itself and reads the whole answer: its status and body.
    ///
    /// # Errors
    ///
    /// Returns a text if there is no whole answer within `wait_ms`; an order may have been taken.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: EncodedCall,
        wait_ms: u64,
    ) -> Result<(u16, Bytes), String> {
        let mut headers = HeaderMap::new();
        if !call.body.is_empty() {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        let method =
            Method::from_bytes(call.method.as_bytes()).map_err(|error| error.to_string())?;
        let sent = self.send(address, &method, &call.path, headers, call.body, true);
        let exchange = async {
            let response = sent.await.map_err(|error| error.to_string())?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body = body.map_err(|error| error.to_string())?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(Duration::from_millis(wait_ms), exchange).await {
            Ok(result) => result,
            Err(_) => Err("no answer in time".to_owned()),
        }
    }
}

impl Default for EngineClient {
    fn default() -> EngineClient {
        EngineClient::new()
    }
}

/// Returns whether the transport says that nothing listens at the address.
fn is_refused(error: &dyn Error) -> bool {
    let mut cause = error.source();
    while let Some(next) = cause {
        let fault = next.downcast_ref::<std::io::Error>();
        if fault.is_some_and(|fault| fault.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = next.source();
    }
    false
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    connector.set_nodelay(true);
    connector.set_tcp_user_timeout(Some(Duration::from_millis(UNACKED_TIMEOUT_MS)));
    connector
}
