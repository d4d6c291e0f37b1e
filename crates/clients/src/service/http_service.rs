use std::time::Duration;

use bytes::Bytes;

use crate::ClientFuture;
use crate::PlatformError;
use crate::http_link::HttpLink;

use super::ServiceAnswer;
use super::ServiceCall;
use super::ServiceClient;

/// The header that carries the fencing token of the calling endpoint.
const FENCE_HEADER: &str = "x-dandelionroad-fence";

/// A [`ServiceClient`] over HTTP.
pub struct HttpService {
    /// The link for calls without an idempotency key, which reuses connections.
    ///
    /// Only idempotent calls have no key, so a call that fails on a stale connection can be repeated.
    pooled: HttpLink,
    /// The link for calls with an idempotency key, for which `Unreachable` must prove that no byte
    /// was sent.
    single_use: HttpLink,
}

impl HttpService {
    /// Creates a client of the service at `base_url` whose calls fail after `deadline`.
    pub fn new(base_url: &str, deadline: Duration) -> HttpService {
        let system = "the plain service";
        HttpService {
            pooled: HttpLink::new(system, base_url, deadline),
            single_use: HttpLink::new_unpooled(system, base_url, deadline),
        }
    }

    async fn send_call(&self, call: &ServiceCall) -> Result<ServiceAnswer, PlatformError> {
        let fence = call.fence.to_string();
        let mut headers = vec![(FENCE_HEADER, fence.as_str())];
        if !call.content_type.is_empty() {
            headers.push(("content-type", call.content_type.as_str()));
        }
        let link = match &call.key {
            Some(key) => {
                headers.push(("idempotency-key", key.as_str()));
                &self.single_use
            }
            None => &self.pooled,
        };
        let body = Bytes::from(call.body.clone());
        let answer = link.send(&call.method, &call.path, &headers, body).await?;
        Ok(ServiceAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        })
    }
}

impl ServiceClient for HttpService {
    fn call<'a>(&'a self, call: &'a ServiceCall) -> ClientFuture<'a, ServiceAnswer> {
        Box::pin(self.send_call(call))
    }
}
