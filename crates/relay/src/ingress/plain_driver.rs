use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::AttemptEnd;
use dandelionroad_core::relay::AttemptPlan;
use dandelionroad_core::relay::ByteSource;
use dandelionroad_core::relay::LifeSign;
use dandelionroad_core::relay::RepeatRule;
use dandelionroad_core::relay::RunPhase;
use dandelionroad_core::relay::ServicePicker;
use dandelionroad_core::relay::SuspicionCause;
use dandelionroad_core::route::hash_text;
use dandelionroad_core::time::MilliTime;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Response;
use hyper::body::Incoming;

use crate::crash_report::record_refused_connection;
use crate::engine::LoadGuard;
use crate::engine::SendError;
use crate::engine::read_whole;
use crate::engine::record_life_sign;
use crate::memory::HeldBytes;
use crate::node::NodeState;
use crate::telemetry::RequestLog;
use crate::wire::EngineCall;
use crate::wire::RefusalKind;

use super::answer_head::AnswerHead;
use super::caller_body::CallerBody;
use super::caller_body::held_body;
use super::crash_check::is_crasher;
use super::crash_check::record_broken_run;
use super::crash_check::record_served;
use super::plain_stream::PlainStream;
use super::refusal::refuse;
use super::relay_request::RelayRequest;
use super::request_handler::retry_after_ms;
use super::response_class::ResponseClass;
use super::stream_step::StreamStep;

/// The minimum time until the deadline with which another attempt is started, in milliseconds.
const MIN_ATTEMPT_MS: u64 = 30;

/// Attempts without an answer count as silent after the time until the deadline divided by this number.
const SILENCE_DIVISOR: u64 = 2;

/// The outcome of one attempt.
enum PlainOutcome {
    /// A response to forward.
    Answered(Response<CallerBody>),
    /// A stream to forward as it arrives, and its beginning.
    Streaming(Box<PlainStream>, StreamStep),
    /// An error response, to forward if no other attempt succeeds.
    Failed(Response<CallerBody>),
    /// No response to forward.
    Lost(AttemptEnd),
}

/// The state of one call while its attempts are in progress.
struct PlainCall<'a> {
    state: &'a Rc<NodeState>,
    relay: &'a RelayRequest,
    log: RequestLog,
    plan: AttemptPlan,
    /// The endpoints to which the call was sent.
    tried: Vec<String>,
    /// The endpoints whose attempts are in progress and don't count as silent, and the times of the attempts.
    awaited: Vec<(String, MilliTime)>,
    /// Whether the next attempt draws on the retry budget; not after one that was not sent.
    takes_retry: bool,
    /// Whether the permission, the retry budget or a crash forbids further attempts.
    is_exhausted: bool,
    /// An error response, to forward if no attempt succeeds.
    failure: Option<Response<CallerBody>>,
}

/// Forwards a request to an endpoint of a plain service, and returns its whole response or its stream.
///
/// Tries further endpoints as far as the route's retry rule, the retry budget and the deadline allow. An attempt
/// that is silent stays in progress beside the next one, since a sound endpoint may be silent for a while. The first
/// whole answer is forwarded; the other attempts are dropped then, which closes their connections.
pub(super) async fn drive_plain(
    state: Rc<NodeState>,
    relay: RelayRequest,
    log: RequestLog,
) -> Response<CallerBody> {
    let relay = Rc::new(relay);
    let mut call = PlainCall::new(&state, &relay, log);
    let mut attempts = FuturesUnordered::new();
    loop {
        if let Some((id, address)) = call.next_endpoint(attempts.len()) {
            attempts.push(send_attempt(&state, &relay, id, address));
        }
        let wait_ms = call.wait_ms(attempts.len());
        let wait = Duration::from_millis(wait_ms);
        match tokio::time::timeout(wait, attempts.next()).await {
            Ok(Some((id, PlainOutcome::Answered(response)))) => {
                record_served(&state, &relay);
                call.record_answer(&id);
                call.log.record_piece();
                call.log.set_outcome("served");
                return response;
            }
            Ok(Some((id, PlainOutcome::Streaming(stream, first)))) => {
                call.record_answer(&id);
                let log = call.log;
                return stream.forward(Rc::clone(&relay), first, log);
            }
            Ok(Some((id, PlainOutcome::Failed(response)))) => {
                call.record_end(&id, AttemptEnd::Failed);
                call.failure = Some(response);
            }
            Ok(Some((id, PlainOutcome::Lost(end)))) => call.record_end(&id, end),
            Ok(None) => break,
            Err(_) if call.left_ms() < MIN_ATTEMPT_MS && call.failure.is_some() => break,
            Err(_) => call.record_silence(),
        }
    }
    call.refuse_or_fail()
}

impl<'a> PlainCall<'a> {
    fn new(state: &'a Rc<NodeState>, relay: &'a RelayRequest, log: RequestLog) -> PlainCall<'a> {
        PlainCall {
            state,
            relay,
            log,
            plan: AttemptPlan::for_route(relay.route()),
            tried: Vec::new(),
            awaited: Vec::new(),
            takes_retry: false,
            is_exhausted: false,
            failure: None,
        }
    }

    /// Returns the time until the deadline, in milliseconds.
    fn left_ms(&self) -> u64 {
        self.relay.deadline.since(self.state.clock.now())
    }

    /// Returns whether another attempt may be made beside `standing` ones.
    fn may_send(&self, standing: usize) -> bool {
        let has_time = self.tried.is_empty() || self.left_ms() >= MIN_ATTEMPT_MS;
        has_time && !self.is_exhausted && self.plan.may_send_beside(standing)
    }

    /// Chooses the endpoint of an attempt beside `standing` ones, and records the send.
    fn next_endpoint(&mut self, standing: usize) -> Option<(String, SocketAddr)> {
        if !self.may_send(standing) {
            return None;
        }
        let (id, address) = pick_endpoint(self.state, self.relay, &self.tried)?;
        if let Some(cause) = self.retry_obstacle() {
            self.log.add_cause(cause);
            self.is_exhausted = true;
            return None;
        }
        self.takes_retry = true;
        self.log.record_send(&id);
        self.tried.push(id.clone());
        self.awaited.push((id.clone(), self.state.clock.now()));
        Some((id, address))
    }

    /// Returns why the call may not be sent again; takes a retry from the budget if it may.
    fn retry_obstacle(&self) -> Option<&'static str> {
        if self.tried.is_empty() {
            return None;
        }
        if is_crasher(self.state, self.relay) {
            return Some("crashed two endpoints");
        }
        if let Some(kind) = self.relay.withdrawn_permission(self.state) {
            return Some(kind.as_str());
        }
        let has_retry = !self.takes_retry || self.state.take_retry("plain");
        (!has_retry).then_some("no retry left")
    }

    /// Returns the time after which the attempts in progress count as silent or, if an error response is to be
    /// forwarded before the deadline, are given up, in milliseconds.
    fn wait_ms(&self, standing: usize) -> u64 {
        let left_ms = self.left_ms();
        let wait_ms = match self.may_send(standing) {
            true => left_ms / SILENCE_DIVISOR,
            // The attempts end at the deadline themselves.
            false => u64::MAX,
        };
        match self.failure {
            Some(_) => wait_ms.min((left_ms + 1).saturating_sub(MIN_ATTEMPT_MS)),
            None => wait_ms,
        }
    }

    /// Records that the attempts in progress have not been answered for long.
    ///
    /// Their endpoints are not preferred until they answer.
    fn record_silence(&mut self) {
        let now = self.state.clock.now();
        for (id, sent_at) in self.awaited.drain(..) {
            self.log.add_cause("endpoint silent");
            let mut view = self.state.view.borrow_mut();
            view.engines
                .suspect(&id, SuspicionCause::NoReport, sent_at, now);
        }
    }

    /// Records that an endpoint serves the call.
    fn record_answer(&self, id: &str) {
        let mut view = self.state.view.borrow_mut();
        view.engines.record_success(id, 0.0, false);
        drop(view);
        record_life_sign(self.state, id, LifeSign::Answer, &self.relay.caller.id);
    }

    /// Records how an attempt ended without an answer that is forwarded at once.
    fn record_end(&mut self, id: &str, end: AttemptEnd) {
        let was_awaited = self.awaited.iter().any(|(awaited, _)| awaited == id);
        self.awaited.retain(|(awaited, _)| awaited != id);
        self.plan.record_end(end);
        self.takes_retry = end != AttemptEnd::NotSent;
        if end == AttemptEnd::Failed {
            self.log.add_cause("endpoint failed");
            return;
        }
        if end == AttemptEnd::Broken {
            record_broken_run(self.state, self.relay, &[id], RunPhase::Starting);
        }
        self.log.add_cause(end.as_str());
        let now = self.state.clock.now();
        let mut view = self.state.view.borrow_mut();
        let entry = view.engines.get(id);
        // An endpoint that has asked for a pause has said itself when it takes requests again.
        let is_paused = entry.is_some_and(|entry| entry.paused_until > now);
        // The silence of an endpoint and the end of the same attempt are one failure.
        if was_awaited && !is_paused {
            view.engines.record_failure(id, now);
        }
    }

    /// Returns the response to a call that no endpoint has served.
    fn refuse_or_fail(mut self) -> Response<CallerBody> {
        if let Some(response) = self.failure {
            self.log.set_outcome("failed");
            return response;
        }
        let (state, relay) = (self.state, self.relay);
        let is_late = state.clock.now() >= relay.deadline;
        let kind = RefusalKind::unanswered(self.plan.may_have_run(), is_late);
        let retry_ms =
            retry_after_ms(kind).map(|retry_ms| pause_left_ms(state, relay).unwrap_or(retry_ms));
        if retry_ms != retry_after_ms(kind) {
            self.log.add_cause("endpoints paused");
        }
        self.log.set_outcome(kind.as_str());
        refuse(state, &relay.caller.id, kind, retry_ms)
    }
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
) -> Option<(String, SocketAddr)> {
    let view = state.view.borrow();
    let picker = ServicePicker::new(&view.engines, &relay.service().name);
    let seed = hash_text(tried.len() as u64, &relay.caller.id);
    let entry = picker.pick(tried, state.clock.now(), seed)?;
    Some((entry.record.id.clone(), entry.record.address))
}

/// Sends the call to an endpoint and waits for the outcome until the deadline.
async fn send_attempt(
    state: &Rc<NodeState>,
    relay: &RelayRequest,
    id: String,
    address: SocketAddr,
) -> (String, PlainOutcome) {
    let load = LoadGuard::for_endpoint(state, &id);
    let now = state.clock.now();
    let left_ms = relay.deadline.since(now);
    let last_event = relay.caller.last_event.as_deref();
    let is_once = relay.route().repeat == RepeatRule::AtMostOnce;
    let call = EngineCall {
        expected_id: &id,
        deadline_ms: relay.engine_timeout_ms(now),
        account: relay.account().map(|account| account.name.as_str()),
        priority: relay.priority(),
        last_event: last_event.filter(|_| relay.route().is_stream),
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
    let exchange = async {
        let response = sent.await?;
        let held = state.memory.hold(ByteSource::Server(address));
        Ok::<PlainOutcome, SendError>(read_response(state, relay, &id, response, held, load).await)
    };
    let outcome = match tokio::time::timeout(Duration::from_millis(left_ms), exchange).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(SendError::NotSent { is_refused, .. })) => {
            if is_refused {
                record_refused_connection(state, &id);
            }
            PlainOutcome::Lost(AttemptEnd::NotSent)
        }
        Ok(Err(SendError::Broken { .. })) | Err(_) => PlainOutcome::Lost(AttemptEnd::Broken),
    };
    (id, outcome)
}

async fn read_response(
    state: &Rc<NodeState>,
    relay: &RelayRequest,
    id: &str,
    response: Response<Incoming>,
    held: HeldBytes,
    load: LoadGuard,
) -> PlainOutcome {
    let class = ResponseClass::classify(state, id, &relay.caller.id, &response);
    if matches!(
        class,
        ResponseClass::Rejected { .. } | ResponseClass::Foreign
    ) {
        return PlainOutcome::Lost(class.attempt_end());
    }
    if class == ResponseClass::Served && relay.route().is_stream {
        let mut stream = PlainStream::new(state, relay, id, response, held, load);
        // Until the caller has got something, another endpoint may serve the request.
        return match stream.next_step().await {
            StreamStep::Cut(_) => PlainOutcome::Lost(AttemptEnd::Broken),
            first => PlainOutcome::Streaming(Box::new(stream), first),
        };
    }
    let (parts, body) = response.into_parts();
    let Ok((body, held)) = read_whole(body, held).await else {
        return PlainOutcome::Lost(AttemptEnd::Broken);
    };
    // The time that the caller takes to read is no fault of the endpoint.
    held.reassign(relay.byte_source());
    let body = held_body(body, held);
    let response = AnswerHead::of_whole(&*state.format, &parts).into_response(body);
    match class {
        ResponseClass::Failed => PlainOutcome::Failed(response),
        _ => PlainOutcome::Answered(response),
    }
}
