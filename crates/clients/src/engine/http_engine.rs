use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::ClientFuture;
use crate::PlatformError;
use crate::whole_body::read_whole;

use super::EngineClient;
use super::EngineOrder;
use super::EngineState;
use super::EngineStep;
use super::GenerateOrder;
use super::GeneratedToken;
use super::StepOutput;
use super::event_decoder::EventDecoder;

/// The name of the engine in errors.
const SYSTEM: &str = "the engine";

/// An [`EngineClient`] over HTTP, for the engine protocol that the design page describes.
///
/// The duration of steps and answers depends on the engine, so the caller must set their deadline.
/// All other calls have the deadline of the client.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    base_url: String,
    deadline: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpEngine {
    /// Creates a client for a base URL such as `http://127.0.0.1:8100`.
    ///
    /// `deadline_ms` applies to connection attempts and to calls other than steps and answers, in
    /// milliseconds.
    pub fn new(base_url: &str, deadline_ms: u64) -> HttpEngine {
        let deadline = Duration::from_millis(deadline_ms);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(deadline));
        HttpEngine {
            base_url: base_url.trim_end_matches('/').to_owned(),
            deadline,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and returns the answer if its status is 2xx.
    async fn send<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&T>,
    ) -> Result<Response<Incoming>, PlatformError> {
        let bytes = match body {
            Some(body) => serde_json::to_vec(body).map_err(invalid_message_error)?,
            None => Vec::new(),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base_url))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|error| PlatformError::Unreachable {
                system: SYSTEM,
                detail: error.to_string(),
            })?;
        let response = self.client.request(request).await.map_err(|error| {
            let detail = error.to_string();
            if error.is_connect() {
                PlatformError::Unreachable {
                    system: SYSTEM,
                    detail,
                }
            } else {
                indeterminate_error(detail)
            }
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let body = read_body(response).await?;
        Err(PlatformError::Rejected {
            system: SYSTEM,
            status,
            detail: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    async fn send_and_parse<T: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&T>,
    ) -> Result<R, PlatformError> {
        let response = self.send(method, path, body).await?;
        let body = read_body(response).await?;
        serde_json::from_slice(&body).map_err(invalid_message_error)
    }

    async fn send_and_discard<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<(), PlatformError> {
        let response = self.send(Method::POST, path, Some(body)).await?;
        read_body(response).await.map(|_| ())
    }

    async fn within_deadline<R>(
        &self,
        call: impl Future<Output = Result<R, PlatformError>>,
    ) -> Result<R, PlatformError> {
        match tokio::time::timeout(self.deadline, call).await {
            Ok(result) => result,
            Err(_) => {
                let millis = self.deadline.as_millis();
                Err(indeterminate_error(format!("no answer within {millis} ms")))
            }
        }
    }
}

impl EngineClient for HttpEngine {
    fn step<'a>(&'a self, step: &'a EngineStep) -> ClientFuture<'a, StepOutput> {
        self.send_and_parse(Method::POST, "/engine/step", Some(step))
            .boxed()
    }

    fn generate<'a>(
        &'a self,
        order: &'a GenerateOrder,
    ) -> ClientFuture<'a, BoxStream<'static, Result<GeneratedToken, PlatformError>>> {
        async move {
            let response = self
                .send(Method::POST, "/engine/generate", Some(order))
                .await?;
            Ok(read_tokens(response.into_body()))
        }
        .boxed()
    }

    fn cancel<'a>(&'a self, session: &'a str) -> ClientFuture<'a, ()> {
        async move {
            let body = json!({"session": session});
            self.within_deadline(self.send_and_discard("/engine/cancel", &body))
                .await
        }
        .boxed()
    }

    fn state(&self) -> ClientFuture<'_, EngineState> {
        let call = self.send_and_parse(Method::GET, "/engine/state", None::<&()>);
        self.within_deadline(call).boxed()
    }

    fn send_order<'a>(&'a self, order: &'a EngineOrder, fence: u64) -> ClientFuture<'a, ()> {
        async move {
            let body = json!({"order": order, "fence": fence});
            self.within_deadline(self.send_and_discard("/engine/order", &body))
                .await
        }
        .boxed()
    }
}

/// Returns the stream of tokens up to the one that ends the answer; a broken connection yields an
/// error.
fn read_tokens(body: Incoming) -> BoxStream<'static, Result<GeneratedToken, PlatformError>> {
    let start = (body, EventDecoder::default(), false);
    futures_util::stream::unfold(start, async |(mut body, mut decoder, is_done)| {
        if is_done {
            return None;
        }
        loop {
            if let Some(data) = decoder.next_data() {
                let token =
                    serde_json::from_str::<GeneratedToken>(&data).map_err(invalid_message_error);
                let is_done = token.as_ref().map_or(true, |token| token.is_end);
                return Some((token, (body, decoder, is_done)));
            }
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref()
                        && !decoder.push(data)
                    {
                        let error = indeterminate_error("line too long".to_owned());
                        return Some((Err(error), (body, decoder, true)));
                    }
                }
                Some(Err(error)) => {
                    let error = indeterminate_error(error.to_string());
                    return Some((Err(error), (body, decoder, true)));
                }
                None => return None,
            }
        }
    })
    .boxed()
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, PlatformError> {
    let body = read_whole(response.into_body()).await;
    body.map_err(indeterminate_error)
}

fn indeterminate_error(detail: String) -> PlatformError {
    PlatformError::Indeterminate {
        system: SYSTEM,
        detail,
    }
}

fn invalid_message_error(error: serde_json::Error) -> PlatformError {
    PlatformError::Invalid {
        system: SYSTEM,
        detail: error.to_string(),
    }
}
