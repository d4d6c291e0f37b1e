use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::relay::ByteSource;
use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::time::MilliTime;
use hyper::Request;
use hyper::Response;
use hyper::header::HOST;

use crate::memory::HeldBytes;
use crate::memory::ReadFault;
use crate::memory::read_bounded;
use crate::node::NodeState;
use crate::telemetry::RequestLog;
use crate::wire::RefusalKind;

use super::admission::admit;
use super::caller_body::CallerBody;
use super::crash_check::admit_suspect;
use super::plain_driver::drive_plain;
use super::refusal::refuse;
use super::relay_request::RelayRequest;
use super::request_body::RequestBody;
use super::stream_driver::drive_stream;

/// The retry delay sent with refusals whose cause usually passes within a second, in milliseconds.
const TRANSIENT_RETRY_MS: u64 = 1_000;

/// The retry delay sent by a stopping process, in milliseconds; the retry reaches another process.
const LEAVING_RETRY_MS: u64 = 100;

/// The maximum number of shared prompt parts of a request that are considered.
///
/// Prompts have a few; a list that fills the head of a request would take milliseconds to look up.
const MAX_SHARED_PARTS: usize = 32;

/// Handles one request of a caller and returns the response.
pub(super) async fn handle_request(
    state: Rc<NodeState>,
    request: Request<RequestBody>,
) -> Response<CallerBody> {
    let arrival = state.clock.now();
    let (parts, body) = request.into_parts();
    let mut caller = match state.format.decode_request(&parts) {
        Ok(caller) => caller,
        Err(error) => {
            spdlog::warn!("request: refused as malformed: {error}");
            return refuse(&state, "", RefusalKind::BadRequest, None);
        }
    };
    caller.shared_parts.truncate(MAX_SHARED_PARTS);
    let mut log = RequestLog::new(&state, &caller.id, arrival);
    let serving = state.view.borrow().serving_config().cloned();
    let Some(config) = serving else {
        return log_and_refuse(&state, &mut log, &caller.id, RefusalKind::StaleConfig);
    };
    let host = request_host(&parts);
    let admitted = {
        let view = state.view.borrow();
        admit(&view, &config, &caller, &host, &parts, arrival)
    };
    let (route, service, account) = match admitted {
        Ok(admitted) => admitted,
        Err(kind) => return log_and_refuse(&state, &mut log, &caller.id, kind),
    };
    log.set_route(&config.routes[route].prefix);
    log.set_parts(&caller.shared_parts);
    let route_timeout_ms = config.routes[route].timeout_ms;
    let timeout_ms = caller.deadline_ms.map_or(route_timeout_ms, |timeout_ms| {
        timeout_ms.min(route_timeout_ms)
    });
    let deadline = arrival.deadline(timeout_ms);
    let is_stream = config.services[service].model.is_some();
    if is_past_stop(&state, is_stream, deadline) {
        return log_and_refuse(&state, &mut log, &caller.id, RefusalKind::Leaving);
    }
    let name = account.map_or_else(String::new, |account| config.accounts[account].name.clone());
    let held = state.memory.hold(ByteSource::Account(name));
    let body = match read_body(body, config.limits.body_bytes, timeout_ms, held).await {
        Ok(body) => body,
        Err(kind) => return log_and_refuse(&state, &mut log, &caller.id, kind),
    };
    // A body may arrive seconds after its head, and the process may have been told to stop meanwhile.
    if is_past_stop(&state, is_stream, deadline) {
        return log_and_refuse(&state, &mut log, &caller.id, RefusalKind::Leaving);
    }
    state.view.borrow_mut().retry_budget.credit_request();
    let service_name = &config.services[service].name;
    let shared_parts = caller.shared_parts.iter();
    let shared_parts = shared_parts.map(|id| PromptPart::new(service_name, id));
    let mut relay = RelayRequest {
        shared_parts: shared_parts.collect(),
        is_probe: false,
        caller,
        parts,
        body,
        config,
        route,
        service,
        account,
        deadline,
    };
    if let Some(kind) = relay.withdrawn_permission(&state) {
        return log_and_refuse(&state, &mut log, &relay.caller.id, kind);
    }
    match admit_suspect(&state, &relay) {
        PartVerdict::Refused => {
            return log_and_refuse(&state, &mut log, &relay.caller.id, RefusalKind::Crasher);
        }
        PartVerdict::Probe => relay.is_probe = true,
        PartVerdict::Clear | PartVerdict::Suspected => {}
    }
    match relay.service().model.is_some() {
        true => drive_stream(state, relay, log).await,
        false => drive_plain(state, relay, log).await,
    }
}

/// Returns the delay after which a caller refused for `kind` should retry, in milliseconds.
pub(super) fn retry_after_ms(kind: RefusalKind) -> Option<u64> {
    match kind {
        RefusalKind::Leaving => Some(LEAVING_RETRY_MS),
        RefusalKind::StaleConfig | RefusalKind::NoEngine | RefusalKind::Overloaded => {
            Some(TRANSIENT_RETRY_MS)
        }
        RefusalKind::BadRequest
        | RefusalKind::UnknownKey
        | RefusalKind::NoRoute
        | RefusalKind::LargeHead
        | RefusalKind::TooLarge
        | RefusalKind::SlowBody
        // A retry would be refused again.
        | RefusalKind::Crasher
        | RefusalKind::LostAnswer
        | RefusalKind::TimedOut => None,
    }
}

/// Refuses a request and records the reason as its outcome.
pub(super) fn log_and_refuse(
    state: &NodeState,
    log: &mut RequestLog,
    request: &str,
    kind: RefusalKind,
) -> Response<CallerBody> {
    log.set_outcome(kind.as_str());
    refuse(state, request, kind, retry_after_ms(kind))
}

/// Returns whether the process stops and no longer admits a request that could begin now.
fn is_past_stop(state: &NodeState, is_stream: bool, deadline: MilliTime) -> bool {
    let shutdown = state.shutdown.get();
    let now = state.clock.now();
    shutdown.is_some_and(|plan| !plan.admits(is_stream, now, deadline))
}

async fn read_body(
    body: RequestBody,
    max_bytes: usize,
    timeout_ms: u64,
    held: HeldBytes,
) -> Result<Bytes, RefusalKind> {
    let read = read_bounded(body, max_bytes, &held);
    let read = tokio::time::timeout(Duration::from_millis(timeout_ms), read).await;
    match read.map_err(|_| RefusalKind::SlowBody)? {
        Ok(body) => held
            .into_bytes(body.into_bytes())
            .ok_or(RefusalKind::Overloaded),
        Err(ReadFault::TooLong { .. }) => Err(RefusalKind::TooLarge),
        Err(ReadFault::Ended) => Err(RefusalKind::Overloaded),
        Err(ReadFault::Broken { detail: error }) => {
            spdlog::debug!("request: can't read the body: {error}");
            Err(RefusalKind::BadRequest)
        }
    }
}

fn request_host(parts: &hyper::http::request::Parts) -> String {
    let host_header = parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    let target_host = parts.uri.authority().map(|authority| authority.as_str());
    host_header.or(target_host).unwrap_or_default().to_owned()
}
