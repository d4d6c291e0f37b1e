use std::sync::Arc;
use std::time::Instant;
use std::time::SystemTime;

use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::header::CONNECTION;
use axum::http::header::CONTENT_TYPE;
use axum::middleware::Next;
use axum::response::Response;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::outcome::RefusalReason;

use crate::node::NodeContext;

use super::caller_error::OUTCOME_HEADER;
use super::caller_error::REQUEST_ID_HEADER;
use super::instrumented_body::InstrumentedBody;
use super::request_record::CANCELLED;
use super::request_record::RequestRecord;

/// Counts a request as running until its response has been sent, and records its outcome.
///
/// The outcome and the reason come from the response headers and extensions, or from the body if it
/// ends early; see [`InstrumentedBody`].
pub(super) async fn instrument_request(
    State(context): State<Arc<NodeContext>>,
    request: Request,
    next: Next,
) -> Response {
    let running = context.requests.start();
    let mut record = RequestRecord {
        node: context.settings.name.clone(),
        kind: match request.uri().path().starts_with("/services/") {
            true => "service",
            false => "model",
        },
        request: None,
        arrival: SystemTime::now(),
        start: Instant::now(),
        // Remains if the caller disconnects before there is a response.
        outcome: CANCELLED,
        reason: None,
    };
    let mut response = next.run(request).await;
    if context.local_record.borrow().state != MemberState::Live {
        // Without this header, a caller could reuse the connection for a request that arrives while
        // the listener closes.
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    record.request = request_ident(&response);
    record.outcome = outcome_text(&response);
    record.reason = response.extensions().get::<RefusalReason>().copied();
    let is_stream = header_text(&response, CONTENT_TYPE.as_str()) == Some("text/event-stream");
    let (parts, body) = response.into_parts();
    let body = InstrumentedBody::new(body, record, running, is_stream);
    Response::from_parts(parts, Body::new(body))
}

fn request_ident(response: &Response) -> Option<RequestIdent> {
    let text = header_text(response, REQUEST_ID_HEADER)?;
    RequestIdent::parse(text).ok()
}

fn outcome_text(response: &Response) -> &'static str {
    match header_text(response, OUTCOME_HEADER) {
        None => "answered",
        Some("not-run") => "not-run",
        Some("failed") => "failed",
        Some(_) => "unknown",
    }
}

fn header_text<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}
