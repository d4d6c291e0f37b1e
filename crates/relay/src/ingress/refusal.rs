use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;

use crate::node::NodeState;
use crate::wire::RefusalKind;

use super::caller_body::CallerBody;
use super::caller_body::full_body;

/// Builds the response with which the relay itself refuses a request.
pub(super) fn refuse(
    state: &NodeState,
    request: &str,
    kind: RefusalKind,
    retry_after_ms: Option<u64>,
) -> Response<CallerBody> {
    let body = serde_json::json!({ "error": kind.as_str() }).to_string();
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    *response.headers_mut() = state.format.refusal_headers(request, retry_after_ms);
    response
}
