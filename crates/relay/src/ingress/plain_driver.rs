use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::AttemptEnd;
use dandelionroad_core::relay::AttemptPlan;
use dandelionroad_core::relay::RepeatRule;
use dandelionroad_core::relay::RunPhase;
use dandelionroad_core::relay::ServicePicker;
use dandelionroad_core::route::hash_text;
use hyper::Response;
use hyper::body::Incoming;

use crate::crash_report::record_refused_connection;
use crate::engine::LoadGuard;
use crate::engine::SendError;
use crate::engine::read_whole;
use crate::node::NodeState;
use crate::telemetry::RequestLog;
use crate::wire::EngineCall;
use crate::wire::RefusalKind;

use super::answer_head::AnswerHead;
use super::caller_body::CallerBody;
use super::caller_body::full_body;
use super::crash_check::is_crasher;
use super::crash_check::record_broken_run;
use super::crash_check::record_served;
use super::refusal::refuse;
use super::relay_request::RelayRequest;
use super::request_handler::retry_after_ms;
use super::response_class::ResponseClass;

/// The minimum time until the deadline with which another attempt is started, in milliseconds.
const MIN_ATTEMPT_MS: u64 = 30;

/// An attempt that may be retried times out after the time until the deadline divided by this number.
const ATTEMPT_TIMEOUT_DIVISOR: u64 = 2;

/// The outcome of one attempt.
enum PlainOutcome {
    /// A response to forward.
    Answered(Response<CallerBody>),
    /// An error response, to forward if no other attempt succeeds.
    Failed(Response<CallerBody>),
    /// No response to forward.
    Lost(AttemptEnd),
}

/// Forwards a request to an endpoint of a plain service, and returns its whole response.
///
/// Tries further endpoints as far as the route's retry rule, the retry budget and the deadline allow.
pub(super) async fn drive_plain(
    state: Rc<NodeState>,
    relay: RelayRequest,
    mut log: RequestLog,
) -> Response<CallerBody> {
    let mut plan = AttemptPlan::for_route(relay.route());
    let mut tried: Vec<String> = Vec::new();
    let mut failure = None;
    loop {
        let now = state.clock.now();
        let left_ms = relay.deadline.since(now);
        let has_time = plan.sends() == 0 || left_ms >= MIN_ATTEMPT_MS;
        if !has_time || !plan.may_send() {
            break;
        }
        let is_retry = plan.sends() > 0 && !plan.is_last_unsent();
        if is_retry && !state.take_retry("plain") {
            log.add_cause("no retry left");
            break;
        }
        if plan.sends() > 0 && is_crasher(&state, &relay) {
            log.add_cause("crashed two endpoints");
            break;
        }
        if plan.sends() > 0
            && let Some(kind) = relay.withdrawn_permission(&state)
        {
            log.add_cause(kind.as_str());
            break;
        }
        let Some((id, address)) = pick_endpoint(&state, &relay, &tried) else {
            break;
        };
        log.record_send(&id);
        tried.push(id.clone());
        match send_attempt(
            &state,
            &relay,
            &id,
            address,
            left_ms,
            plan.may_send_after_run(),
        )
        .await
        {
            PlainOutcome::Answered(response) => {
                record_served(&state, &relay);
                state.view.borrow_mut().engines.record_success(&id);
                log.record_piece();
                log.set_outcome("served");
                return response;
            }
            PlainOutcome::Failed(response) => {
                plan.record_end(AttemptEnd::Failed);
                log.add_cause("endpoint failed");
                failure = Some(response);
            }
            PlainOutcome::Lost(end) => {
                if end == AttemptEnd::Broken {
                    record_broken_run(&state, &relay, &[&id], RunPhase::Starting);
                }
                plan.record_end(end);
                log.add_cause(end.as_str());
                let now = state.clock.now();
                let mut view = state.view.borrow_mut();
                let entry = view.engines.get(&id);
                // An endpoint that has asked for a pause has said itself when it takes requests again.
                let is_paused = entry.is_some_and(|entry| entry.paused_until > now);
                if !is_paused {
                    view.engines.record_failure(&id, now);
                }
            }
        }
    }
    if let Some(response) = failure {
        log.set_outcome("failed");
        return response;
    }
    let is_late = state.clock.now() >= relay.deadline;
    let kind = RefusalKind::unanswered(plan.may_have_run(), is_late);
    let retry_ms =
        retry_after_ms(kind).map(|retry_ms| pause_left_ms(&state, &relay).unwrap_or(retry_ms));
    if retry_ms != retry_after_ms(kind) {
        log.add_cause("endpoints paused");
    }
    log.set_outcome(kind.as_str());
    refuse(&state, &relay.caller.id, kind, retry_ms)
}

/// Returns the time for which all endpoints of the request's service have asked for a pause, in milliseconds; `None`
/// if one of them takes requests.
fn pause_left_ms(state: &NodeState, relay: &RelayRequest) -> Option<u64> {
    let now = state.clock.now();
    let view = state.view.borrow();
    let end = view.engines.service_pause_end(&relay.service().name, now)?;
    Some(end.since(now))
}

fn pick_endpoint(
    state: &NodeState,
    relay: &RelayRequest,
    tried: &[String],
) -> Option<(String, std::net::SocketAddr)> {
    let view = state.view.borrow();
    let picker = ServicePicker::new(&view.engines, &relay.service().name);
    let seed = hash_text(tried.len() as u64, &relay.caller.id);
    let entry = picker.pick(tried, state.clock.now(), seed)?;
    Some((entry.record.id.clone(), entry.record.address))
}

async fn send_attempt(
    state: &Rc<NodeState>,
    relay: &RelayRequest,
    id: &str,
    address: std::net::SocketAddr,
    left_ms: u64,
    may_retry: bool,
) -> PlainOutcome {
    let _load = LoadGuard::for_endpoint(state, id);
    let is_once = relay.route().repeat == RepeatRule::AtMostOnce;
    let call = EngineCall {
        expected_id: id,
        deadline_ms: left_ms,
        account: relay.account().map(|account| account.name.as_str()),
        priority: relay.priority(),
        last_event: None,
        chain: &[],
    };
    let headers = state
        .format
        .encode_request_headers(&relay.parts.headers, &call);
    let method = &relay.parts.method;
    let sent = state.engine_client.send(
        address,
        method,
        relay.path(),
        headers,
        relay.body.clone(),
        is_once,
    );
    let wait_ms = match may_retry {
        true => left_ms / ATTEMPT_TIMEOUT_DIVISOR,
        false => left_ms,
    };
    let exchange = async {
        let response = sent.await?;
        Ok::<PlainOutcome, SendError>(read_response(state, relay, id, response).await)
    };
    match tokio::time::timeout(Duration::from_millis(wait_ms), exchange).await {
        Ok(Ok(end)) => end,
        Ok(Err(SendError::NotSent { is_refused, .. })) => {
            if is_refused {
                record_refused_connection(state, id);
            }
            PlainOutcome::Lost(AttemptEnd::NotSent)
        }
        Ok(Err(SendError::Broken { .. })) | Err(_) => PlainOutcome::Lost(AttemptEnd::Broken),
    }
}

async fn read_response(
    state: &NodeState,
    relay: &RelayRequest,
    id: &str,
    response: Response<Incoming>,
) -> PlainOutcome {
    let class = ResponseClass::classify(state, id, &relay.caller.id, &response);
    if matches!(
        class,
        ResponseClass::Rejected { .. } | ResponseClass::Foreign
    ) {
        return PlainOutcome::Lost(class.attempt_end());
    }
    let (parts, body) = response.into_parts();
    let Ok(body) = read_whole(body).await else {
        return PlainOutcome::Lost(AttemptEnd::Broken);
    };
    let response = AnswerHead::of_whole(&*state.format, &parts).into_response(full_body(body));
    match class {
        ResponseClass::Failed => PlainOutcome::Failed(response),
        _ => PlainOutcome::Answered(response),
    }
}
