use std::time::Instant;

use axum::body::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

use super::CallOutcome;
use super::CallResult;
use super::LoadKind;
use super::event_reader::EventReader;

/// An HTTP client that calls entries with the secret of one client account.
#[derive(Clone, Debug)]
pub struct CallerClient {
    secret: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Measures the latencies of one response.
struct ResponseTimer {
    start: Instant,
    /// The arrival of the last token, or of the answer of a plain service.
    last: Option<Instant>,
    first_ms: Option<f64>,
    token_intervals_ms: Vec<f64>,
}

impl CallerClient {
    /// Creates a client that authenticates with `secret`.
    pub fn new(secret: &str) -> CallerClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        CallerClient {
            secret: secret.to_owned(),
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Requests a streamed answer, and compares it with `expected` unless that is empty.
    pub async fn stream(
        &self,
        entry: &str,
        kind: LoadKind,
        (model, prompt, max_tokens): (&str, &str, u32),
        expected: &str,
    ) -> CallResult {
        let mut body = json!({"model": model, "max_tokens": max_tokens, "stream": true});
        let path = match kind {
            LoadKind::Chat => {
                body["messages"] = json!([{"role": "user", "content": prompt}]);
                "/v1/chat/completions"
            }
            LoadKind::Booking | LoadKind::Completion | LoadKind::Stock => {
                body["prompt"] = json!(prompt);
                "/v1/completions"
            }
        };
        let mut timer = ResponseTimer::start();
        let request = self.request("POST", &format!("{entry}{path}"), None, body.to_string());
        let outcome = match self.send(request).await {
            Ok(response) => read_stream(response, expected, &mut timer).await,
            Err(outcome) => outcome,
        };
        timer.finish(kind, outcome)
    }

    /// Sends one booking with the idempotency key `key`.
    pub async fn book(&self, entry: &str, service: &str, key: &str) -> CallResult {
        let url = format!("{entry}/services/{service}/book");
        let body = json!({"item": "hawser", "quantity": 1}).to_string();
        let request = self.request("POST", &url, Some(key), body);
        self.call(request, LoadKind::Booking).await
    }

    /// Reads the stock of the sample item.
    pub async fn stock(&self, entry: &str, service: &str) -> CallResult {
        let url = format!("{entry}/services/{service}/stock/hawser");
        let request = self.request("GET", &url, None, String::new());
        self.call(request, LoadKind::Stock).await
    }

    /// Sends a JSON body to any URL by POST, and returns the status and the body of the answer.
    ///
    /// # Errors
    ///
    /// Returns the transport error as text.
    pub async fn post(&self, url: &str, body: &str) -> Result<(u16, String), String> {
        self.exchange(self.request("POST", url, None, body.to_owned()))
            .await
    }

    /// Reads any URL by GET, and returns the status and the body of the answer.
    ///
    /// # Errors
    ///
    /// Returns the transport error as text.
    pub async fn get(&self, url: &str) -> Result<(u16, String), String> {
        self.exchange(self.request("GET", url, None, String::new()))
            .await
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<(u16, String), String> {
        let response = self.client.request(request).await;
        let response = response.map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }

    async fn call(&self, request: Request<Full<Bytes>>, kind: LoadKind) -> CallResult {
        let mut timer = ResponseTimer::start();
        let outcome = match self.send(request).await {
            Ok(response) => match response.into_body().collect().await {
                Ok(_) => CallOutcome::Answered,
                Err(error) => CallOutcome::CutOff(error.to_string()),
            },
            Err(outcome) => outcome,
        };
        timer.record_part();
        timer.finish(kind, outcome)
    }

    fn request(
        &self,
        method: &str,
        url: &str,
        key: Option<&str>,
        body: String,
    ) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(url)
            .header("authorization", format!("Bearer {}", self.secret))
            .header("content-type", "application/json");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let body = Full::new(Bytes::from(body));
        builder
            .body(body)
            .expect("URLs and keys of a load test are valid")
    }

    /// Sends a request, and returns the response, or the outcome if the status is not a success.
    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallOutcome> {
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| CallOutcome::CutOff(error.to_string()))?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body = match response.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return Err(CallOutcome::CutOff(error.to_string())),
        };
        let body = serde_json::from_slice(&body).unwrap_or_default();
        Err(refusal(&body, status.as_str()))
    }
}

impl ResponseTimer {
    fn start() -> ResponseTimer {
        ResponseTimer {
            start: Instant::now(),
            last: None,
            first_ms: None,
            token_intervals_ms: Vec::new(),
        }
    }

    /// Records the arrival of a token, or of the answer of a plain service.
    fn record_part(&mut self) {
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.first_ms = Some(millis(now - self.start)),
            Some(last) => self.token_intervals_ms.push(millis(now - last)),
        }
    }

    fn finish(self, kind: LoadKind, outcome: CallOutcome) -> CallResult {
        CallResult {
            kind,
            outcome,
            first_ms: self.first_ms,
            token_intervals_ms: self.token_intervals_ms,
            total_ms: millis(self.start.elapsed()),
        }
    }
}

fn millis(duration: std::time::Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Reads a streamed answer to its end.
async fn read_stream(
    response: Response<Incoming>,
    expected: &str,
    timer: &mut ResponseTimer,
) -> CallOutcome {
    let mut reader = EventReader::new(response.into_body());
    let mut answer = String::new();
    loop {
        let event = match reader.next().await {
            Ok(Some(event)) => event,
            Ok(None) => return CallOutcome::CutOff("no closing event".to_owned()),
            Err(detail) => return CallOutcome::CutOff(detail),
        };
        if event.data == "[DONE]" {
            break;
        }
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        if event.name == "error" {
            return refusal(&data, "error event");
        }
        let choice = &data["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            timer.record_part();
            answer.push_str(text);
        }
    }
    if expected.is_empty() || answer == expected {
        return CallOutcome::Answered;
    }
    CallOutcome::Wrong(format!("got {answer:?}, expected {expected:?}"))
}

/// Returns the outcome for an error body, with `status` in place of missing fields.
fn refusal(body: &Value, status: &str) -> CallOutcome {
    let text = |name: &str| body["error"][name].as_str().unwrap_or(status).to_owned();
    CallOutcome::Refused {
        outcome: text("outcome"),
        reason: text("reason"),
    }
}
