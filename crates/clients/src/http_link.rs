//! The HTTP connection pool with deadlines that the clients share.

use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
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
use crate::whole_body::read_whole;

/// The connect timeout of a call is its deadline divided by this number.
///
/// A failed connection attempt proves that nothing was sent, whereas a missed deadline proves
/// nothing, so the connect timeout must expire first.
const CONNECT_TIMEOUT_DIVISOR: u32 = 2;

/// The maximum connect timeout, in milliseconds.
///
/// The systems are in the same or a neighbouring availability zone, with a latency of at most half a
/// millisecond one way.
const MAX_CONNECT_MS: u64 = 1_000;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// An HTTP connection pool for one outside system, with a deadline for each call.
#[derive(Debug)]
pub struct HttpLink {
    system: &'static str,
    base_url: String,
    deadline: Duration,
    keeps_connections: bool,
    /// Replaced after a missed deadline, because its other idle connections may be dead too.
    client: Mutex<HttpClient>,
}

impl HttpLink {
    /// Creates a link that reuses idle connections.
    ///
    /// `system` is the name of the outside system in errors.
    pub fn new(system: &'static str, base_url: &str, deadline: Duration) -> HttpLink {
        HttpLink::build(system, base_url, deadline, true)
    }

    /// Creates a link that opens a new connection for each call.
    ///
    /// A reused connection may have been closed by the server since the last call. With a new one, a
    /// failure to connect is the only failure that occurs before the first byte is sent.
    pub(crate) fn new_unpooled(
        system: &'static str,
        base_url: &str,
        deadline: Duration,
    ) -> HttpLink {
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

    /// Sends a request and reads the complete answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` if no connection could be opened, `Indeterminate` if the complete answer
    /// did not arrive before the deadline, and `Invalid` if the method, path or headers can't form a
    /// request.
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
            .map_err(|error| self.invalid_message_error(&error.to_string()))?;
        let client = self.client();
        match tokio::time::timeout(self.deadline, self.exchange(&client, request)).await {
            Ok(result) => result,
            Err(_) => {
                self.replace_client();
                let millis = self.deadline.as_millis();
                Err(self.indeterminate_error(&format!("no answer within {millis} ms")))
            }
        }
    }

    /// Returns an error for an answer with an unexpected status.
    pub(crate) fn rejected_error(&self, answer: &HttpAnswer) -> PlatformError {
        PlatformError::Rejected {
            system: self.system,
            status: answer.status,
            detail: String::from_utf8_lossy(&answer.body).into_owned(),
        }
    }

    /// Returns an error for an answer or a request that violates the protocol.
    pub(crate) fn invalid_message_error(&self, detail: &str) -> PlatformError {
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
            let detail = error_chain(&error);
            match error.is_connect() {
                true => PlatformError::Unreachable {
                    system: self.system,
                    detail,
                },
                false => self.indeterminate_error(&detail),
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
        let (parts, body) = response.into_parts();
        let body = read_whole(body).await;
        Ok(HttpAnswer {
            status,
            content_type,
            headers: parts.headers,
            body: body.map_err(|detail| self.indeterminate_error(&detail))?,
        })
    }

    fn indeterminate_error(&self, detail: &str) -> PlatformError {
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
    let connect_timeout =
        (deadline / CONNECT_TIMEOUT_DIVISOR).min(Duration::from_millis(MAX_CONNECT_MS));
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    let mut builder = Client::builder(TokioExecutor::new());
    if !keeps_connections {
        builder.pool_max_idle_per_host(0);
        builder.retry_canceled_requests(false);
    }
    builder.build(connector)
}

/// Returns the messages of an error and its sources, because the message of a hyper error names only
/// the phase in which it occurred.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text = format!("{text}: {inner}");
        source = inner.source();
    }
    text
}

/// Percent-encodes a text as one path segment or one query value.
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
