//! The handler of the routes under `/services/`.

use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::State;
use axum::extract::rejection::BytesRejection;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use dandelionroad_core::admit::WorkUnits;
use dandelionroad_core::dispatch::CallAction;
use dandelionroad_core::dispatch::CallOrder;
use dandelionroad_core::dispatch::RetryAction;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_core::outcome::RequestOutcome;

use crate::entry::caller_auth::authenticate;
use crate::entry::caller_auth::new_request_ident;
use crate::entry::caller_error::CallerError;
use crate::entry::caller_error::OUTCOME_HEADER;
use crate::entry::caller_error::REQUEST_ID_HEADER;
use crate::node::NodeContext;

use super::call_driver;
use super::call_request::CallRequest;
use super::retry_driver;

/// The response header that marks an answer from the record of an earlier call.
const REPLAYED_HEADER: &str = "x-dandelionroad-replayed";

/// The assumed length of a token of a request body in bytes.
const BODY_TOKEN_BYTES: u64 = 4;

/// Serves all methods of `/services/{service}/{path}`.
pub(super) async fn call(
    State(context): State<Arc<NodeContext>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Response {
    let ident = new_request_ident();
    let result = try_call(&context, &ident, (&method, &uri, &headers), body).await;
    let mut response = result.unwrap_or_else(IntoResponse::into_response);
    if let Ok(value) = HeaderValue::from_str(ident.as_str()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

async fn try_call(
    context: &Arc<NodeContext>,
    ident: &RequestIdent,
    target: (&Method, &Uri, &HeaderMap),
    body: Result<Bytes, BytesRejection>,
) -> Result<Response, CallerError> {
    let config = context.config.borrow().clone();
    let account = authenticate(&config, target.2, ident)?;
    let body = body.map_err(|error| {
        CallerError::not_run(ident, RefusalReason::BadRequest, &error.body_text())
    })?;
    let time = (context.clock.now(), context.settings.request_deadline_ms);
    let request = CallRequest::parse(&config, account, ident, target, &body, time)?;
    if request.order.row.is_none() {
        // A call with a key is not limited here: refusing a repeated call as `not-run` would be
        // wrong if an earlier attempt ran. The endpoint admits the call under its row instead.
        let members = context.members.borrow().clone();
        let account = &request.order.account;
        let units = call_units(&request.order);
        let taken = context
            .limits
            .take(&config, &members, account, units, time.0);
        taken.map_err(|retry_after_ms| CallerError::account_limit(ident, retry_after_ms))?;
    }
    match request.order.row.clone() {
        Some(key) => match call_driver::run(context, &request, key).await {
            CallAction::Answer {
                status,
                content_type,
                body,
                replayed,
            } => Ok(answer(status, &content_type, body, replayed)),
            CallAction::Refuse {
                outcome,
                reason,
                retry_after_ms,
            } => Err(refusal(ident, outcome, reason, retry_after_ms)),
            // Not reached, since the driver returns only `Answer` or `Refuse`.
            _ => Err(refusal(
                ident,
                RequestOutcome::Unknown,
                RefusalReason::EndpointLost,
                0,
            )),
        },
        None => match retry_driver::run(context, &request.service, &request.order).await {
            RetryAction::Answer {
                status,
                content_type,
                body,
            } => Ok(answer(status, &content_type, body, false)),
            RetryAction::Refuse {
                outcome,
                reason,
                retry_after_ms,
            } => Err(refusal(ident, outcome, reason, retry_after_ms)),
            RetryAction::Forward => Err(refusal(
                ident,
                RequestOutcome::Unknown,
                RefusalReason::EndpointLost,
                0,
            )),
        },
    }
}

/// Returns the work of a call that is charged to the limit of its client account, in work units.
fn call_units(order: &CallOrder) -> u64 {
    let tokens = (order.body.len() as u64).div_ceil(BODY_TOKEN_BYTES);
    WorkUnits::default().of_request(tokens, 0)
}

/// Returns the response of the service.
///
/// The outcome header distinguishes errors of the service, which are `failed`, from refusals.
fn answer(status: u16, content_type: &str, body: String, replayed: bool) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, body).into_response();
    let headers = response.headers_mut();
    headers.remove(CONTENT_TYPE);
    if let Ok(value) = HeaderValue::from_str(content_type)
        && !content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    if replayed {
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    if status.is_client_error() || status.is_server_error() {
        let outcome = HeaderValue::from_static(RequestOutcome::Failed.as_str());
        headers.insert(OUTCOME_HEADER, outcome);
    }
    response
}

fn refusal(
    ident: &RequestIdent,
    outcome: RequestOutcome,
    reason: RefusalReason,
    retry_after_ms: u64,
) -> CallerError {
    let detail = match outcome {
        RequestOutcome::NotRun => "the call was not run",
        RequestOutcome::Unknown => "the call may have run",
        RequestOutcome::Failed => "the call ran and failed",
    };
    CallerError {
        request: ident.clone(),
        outcome,
        reason,
        detail: detail.to_owned(),
        retry_after_ms,
    }
}
