use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HOST;

use crate::node::NodeState;
use crate::telemetry::RequestLog;
use crate::wire::RefusalKind;

use super::admission::admit;
use super::caller_body::CallerBody;
use super::crash_check::is_crasher;
use super::plain_driver::drive_plain;
use super::refusal::refuse;
use super::relay_request::RelayRequest;
use super::stream_driver::drive_stream;

/// When a caller should come back after a refusal for a cause that passes within a second or so, in
/// milliseconds.
const SHORT_RETRY_MS: u64 = 1_000;

/// When a caller refused by a stopping process should come back, to another one, in milliseconds.
const OTHER_PROCESS_MS: u64 = 100;

/// The time that must be left to a stopping process for a stream, in milliseconds.
///
/// On a quiet day, 94 in 100 streams end within it. Before, the balancer still sends new connections, and
/// callers that are refused too early meet the next process that stops.
const LAST_STREAM_MS: u64 = 5_000;

/// The time that must be left to a stopping process for a call of a plain service, in milliseconds.
///
/// Calls take some tens of milliseconds, and operators give them two seconds at most.
const LAST_CALL_MS: u64 = 2_000;

/// Answers one request.
pub(super) async fn handle(
    state: Rc<NodeState>,
    request: Request<Incoming>,
) -> Response<CallerBody> {
    let arrived = state.clock.now();
    let (parts, body) = request.into_parts();
    let caller = match state.format.decode_request(&parts) {
        Ok(caller) => caller,
        Err(fault) => {
            spdlog::warn!("request: refused: {fault}");
            return refuse(&state, "", RefusalKind::BadRequest, None);
        }
    };
    let mut log = RequestLog::new(&state, &caller.id, arrived);
    let Some(config) = state.view.borrow().config.clone() else {
        return end_refused(&state, &mut log, &caller.id, RefusalKind::StaleConfig);
    };
    let host = host_of(&parts);
    let admitted = {
        let view = state.view.borrow();
        admit(&view, &config, &caller, &host, parts.uri.path(), arrived)
    };
    let (route, service, account) = match admitted {
        Ok(admitted) => admitted,
        Err(kind) => return end_refused(&state, &mut log, &caller.id, kind),
    };
    log.set_route(&config.routes[route].prefix);
    let least_ms = match config.services[service].model.is_some() {
        true => LAST_STREAM_MS,
        false => LAST_CALL_MS,
    };
    if state.stop_deadline.get().since(arrived) < least_ms {
        return end_refused(&state, &mut log, &caller.id, RefusalKind::Leaving);
    }
    let body = match read_body(body, config.limits.body_bytes).await {
        Ok(body) => body,
        Err(kind) => return end_refused(&state, &mut log, &caller.id, kind),
    };
    let timeout_ms = config.routes[route].timeout_ms;
    let wait_ms = caller
        .deadline_ms
        .map_or(timeout_ms, |wait| wait.min(timeout_ms));
    state.view.borrow_mut().retry_budget.credit_request();
    let relay = RelayRequest {
        caller,
        parts,
        body,
        config,
        route,
        service,
        account,
        deadline: arrived.plus(wait_ms),
    };
    if is_crasher(&state, &relay) {
        return end_refused(&state, &mut log, &relay.caller.id, RefusalKind::Crasher);
    }
    match relay.service().model.is_some() {
        true => drive_stream(state, relay, log).await,
        false => drive_plain(state, relay, log).await,
    }
}

/// Returns when a caller refused for `kind` should come back, in milliseconds.
pub(super) fn retry_after_ms(kind: RefusalKind) -> Option<u64> {
    match kind {
        RefusalKind::Leaving => Some(OTHER_PROCESS_MS),
        RefusalKind::StaleConfig | RefusalKind::NoEngine | RefusalKind::Overloaded => {
            Some(SHORT_RETRY_MS)
        }
        RefusalKind::BadRequest
        | RefusalKind::UnknownKey
        | RefusalKind::NoRoute
        | RefusalKind::TooLarge
        // It is refused whenever it comes.
        | RefusalKind::Crasher
        | RefusalKind::LostAnswer
        | RefusalKind::TimedOut => None,
    }
}

/// Refuses a request and writes down why.
pub(super) fn end_refused(
    state: &NodeState,
    log: &mut RequestLog,
    request: &str,
    kind: RefusalKind,
) -> Response<CallerBody> {
    log.set_outcome(kind.as_str());
    refuse(state, request, kind, retry_after_ms(kind))
}

async fn read_body(body: Incoming, most: usize) -> Result<Bytes, RefusalKind> {
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(RefusalKind::TooLarge),
        Err(error) => {
            spdlog::debug!("request: body not read: {error}");
            Err(RefusalKind::BadRequest)
        }
    }
}

fn host_of(parts: &hyper::http::request::Parts) -> String {
    let header = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    let target = parts.uri.authority().map(|authority| authority.as_str());
    header.or(target).unwrap_or_default().to_owned()
}
