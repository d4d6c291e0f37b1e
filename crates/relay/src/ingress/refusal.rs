use bytes::Bytes;
use hyper::Response;

use crate::node::NodeState;
use crate::wire::RefusalKind;

use super::answer_head::AnswerHead;
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
    let headers = state.format.refusal_headers(request, retry_after_ms);
    AnswerHead::of_refusal(kind, headers).into_response(full_body(Bytes::from(body)))
}
