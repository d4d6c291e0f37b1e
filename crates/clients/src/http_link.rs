//! The HTTP client that the adapters share.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::PlatformError;
use crate::http_answer::HttpAnswer;

/// The share of the deadline that opening a connection may take, as a divisor.
///
/// A connection attempt that fails proves that nothing was sent, so it has to fail before the
/// deadline of the whole call, which proves nothing.
const CONNECT_SHARE: u32 = 2;

/// The longest time that opening a connection may take, in milliseconds.
///
/// The systems are at most one availability zone away, half a millisecond one way.
const MAX_CONNECT_MS: u64 = 1_000;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Connections to one outside system, with a deadline for each call.
#[derive(Debug)]
pub struct HttpLink {
    system: &'static str,
    base_url: String,
    deadline: Duration,
    keeps_connections: bool,
    /// Replaced after a missed deadline: its other idle connections can be silent too.
    client: Mutex<HttpClient>,
}

impl HttpLink {
    /// Creates a link that keeps idle connections for later calls.
    pub fn new(system: &'static str, base_url: &str, deadline: Duration) -> HttpLink {
        HttpLink::build(system, base_url, deadline, true)
    }

    /// Creates a link that opens a connection for each call.
    ///
    /// A connection that is used once can't have been closed by the other side before the call,
    /// so that a failure to connect is the only failure that happens before the first byte.
    pub(crate) fn single_use(system: &'static str, base_url: &str, deadline: Duration) -> HttpLink {
        HttpLink::build(system, base_url, deadline, false)
    }

    fn build(
        system: &'static str,
        base_url: &str,
        deadline: Duration,
        keeps_connections: bool,
    ) -> HttpLink {
        HttpLink {
            system,
            base_url: base_url.trim_end_matches('/').to_owned(),
            deadline,
            keeps_connections,
            client: Mutex::new(new_client(deadline, keeps_connections)),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if no connection could be opened, `Indeterminate` if the answer did
    /// not arrive whole within the deadline, and `Invalid` if the request can't be written.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpAnswer, PlatformError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(Full::new(body))
            .map_err(|error| self.invalid(&error.to_string()))?;
        let client = self.client();
        match tokio::time::timeout(self.deadline, self.exchange(&client, request)).await {
            Ok(result) => result,
            Err(_) => {
                self.replace_client();
                Err(self.indeterminate("no answer within the deadline"))
            }
        }
    }

    /// Returns an error for an answer with an unexpected status.
    pub(crate) fn rejected(&self, answer: &HttpAnswer) -> PlatformError {
        PlatformError::Rejected {
            system: self.system,
            status: answer.status,
            detail: String::from_utf8_lossy(&answer.body).into_owned(),
        }
    }

    /// Returns an error for an answer or a request that breaks the protocol.
    pub(crate) fn invalid(&self, detail: &str) -> PlatformError {
        PlatformError::Invalid {
            system: self.system,
            detail: detail.to_owned(),
        }
    }

    async fn exchange(
        &self,
        client: &HttpClient,
        request: Request<Full<Bytes>>,
    ) -> Result<HttpAnswer, PlatformError> {
        let response = client.request(request).await.map_err(|error| {
            let detail = describe(&error);
            match error.is_connect() {
                true => PlatformError::Unreachable {
                    system: self.system,
                    detail,
                },
                false => self.indeterminate(&detail),
            }
        })?;
        self.read_answer(response).await
    }

    async fn read_answer(&self, response: Response<Incoming>) -> Result<HttpAnswer, PlatformError> {
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| self.indeterminate(&error.to_string()))?;
        Ok(HttpAnswer {
            status,
            content_type,
            body: body.to_bytes(),
        })
    }

    fn indeterminate(&self, detail: &str) -> PlatformError {
        PlatformError::Indeterminate {
            system: self.system,
            detail: detail.to_owned(),
        }
    }

    fn client(&self) -> HttpClient {
        let client = self.client.lock();
        client.unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    fn replace_client(&self) {
        let fresh = new_client(self.deadline, self.keeps_connections);
        let client = self.client.lock();
        *client.unwrap_or_else(|poison| poison.into_inner()) = fresh;
    }
}

fn new_client(deadline: Duration, keeps_connections: bool) -> HttpClient {
    let mut connector = HttpConnector::new();
    let connect_timeout = (deadline / CONNECT_SHARE).min(Duration::from_millis(MAX_CONNECT_MS));
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    let mut builder = Client::builder(TokioExecutor::new());
    if !keeps_connections {
        builder.pool_max_idle_per_host(0);
        builder.retry_canceled_requests(false);
    }
    builder.build(connector)
}

/// Returns the messages of an error and its sources; hyper's own message names only the phase.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}

/// Encodes a text as one segment of a path or one value of a query.
pub fn encode_segment(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(byte as char);
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
