use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::cli_error::CliError;

/// The timeout of a request, in milliseconds; longer than the maximum wait for a revision (60 s).
const REQUEST_TIMEOUT_MS: u64 = 70_000;

/// A client of the administration API of an entry.
pub(crate) struct AdminClient {
    address: String,
    token: String,
}

impl AdminClient {
    /// Creates a client of the entry at `address` (`ip:port`).
    pub(crate) fn new(address: String, token: String) -> AdminClient {
        AdminClient { address, token }
    }

    /// Reads the resource at `path`, relative to `/admin/v1/`.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, CliError> {
        let (status, body) = self.send(Method::GET, path, Bytes::new()).await?;
        if status == 200 {
            return Ok(body);
        }
        Err(refusal_error(status, &body))
    }

    /// Submits a ticket and returns its verdict, also if the ticket is not accepted.
    pub(crate) async fn apply(&self, ticket: Bytes) -> Result<Value, CliError> {
        let (status, body) = self.send(Method::POST, "tickets", ticket).await?;
        if body.get("verdict").is_some() {
            return Ok(body);
        }
        Err(refusal_error(status, &body))
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(u16, Value), CliError> {
        let is_write = method != Method::GET;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}/admin/v1/{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body))
            .map_err(|error| CliError::Address {
                detail: error.to_string(),
            })?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let exchange = async {
            let response = client.request(request).await.map_err(|error| {
                if error.is_connect() || !is_write {
                    self.unreachable_error(&error)
                } else {
                    self.lost_response_error(&error)
                }
            })?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body = body
                .map_err(|error| self.lost_response_error(&error))?
                .to_bytes();
            Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(elapsed) if is_write => Err(self.lost_response_error(&elapsed)),
            Err(elapsed) => Err(self.unreachable_error(&elapsed)),
        }
    }

    fn unreachable_error(&self, error: &dyn std::error::Error) -> CliError {
        CliError::Unreachable {
            address: self.address.clone(),
            detail: error.to_string(),
        }
    }

    fn lost_response_error(&self, error: &dyn std::error::Error) -> CliError {
        CliError::ResponseLost {
            address: self.address.clone(),
            detail: error.to_string(),
        }
    }
}

fn refusal_error(status: u16, body: &Value) -> CliError {
    let message = body["error"]["message"].as_str();
    CliError::Refused {
        status,
        message: message.map_or_else(
            || format!("the entry refused the request with status {status}"),
            str::to_owned,
        ),
    }
}
