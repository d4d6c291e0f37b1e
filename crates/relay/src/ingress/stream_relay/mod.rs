//! A model request that is run on a chain of engines, and on further chains if a run fails.
//!
//! The relay sends the request to the first engine of a chain, which returns a stream of events with
//! increasing identifiers. A run fails if its connection breaks, an event is truncated or out of order, or
//! the chain stalls. The request is then sent to another chain with the identifier of the last forwarded
//! event, after which that chain continues, so the caller sees one uninterrupted stream. A stream whose
//! events have no identifiers is not resumed.

mod chain_choice;
mod crash_wait;
mod event_forwarding;
mod stall_detection;
mod stall_reason;
mod stall_timeouts;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::chain::ChainStage;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::relay::AnswerProgress;
use dandelionroad_core::relay::AttemptEnd;
use dandelionroad_core::relay::AttemptPlan;
use dandelionroad_core::relay::EventSplitter;
use dandelionroad_core::relay::RepeatRule;
use dandelionroad_core::time::MilliTime;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;

use crate::crash_report::record_refused_connection;
use crate::engine::LoadGuard;
use crate::engine::SendError;
use crate::engine::read_whole;
use crate::node::NodeState;
use crate::telemetry::RequestLog;
use crate::wire::EngineCall;
use crate::wire::RefusalKind;

use super::caller_body::CallerStream;
use super::crash_check::record_parts_served;
use super::crash_check::record_served;
use super::open_outcome::OpenOutcome;
use super::relay_request::RelayRequest;
use super::response_class::ResponseClass;

use self::crash_wait::BrokenHead;
use self::stall_reason::StallReason;
use self::stall_timeouts::StallTimeouts;

/// A chain is probed if no response has arrived after the target time to the first event divided by this
/// number.
///
/// A healthy chain responds within 20 % of the target time. A second chain that starts after 50 % of it is
/// still in time.
const FIRST_EVENT_PROBE_DIVISOR: u64 = 2;

/// The time without a response after which the request fails over even if its engines report that they are
/// healthy, as a multiple of the target time to the first event.
const FIRST_EVENT_FAILOVER_FACTOR: u64 = 2;

/// A run of the request on one chain.
struct ChainRun {
    stages: Vec<ChainStage>,
    /// The time of a token step of a single request on idle engines, in milliseconds.
    unloaded_step_ms: f64,
    /// The start of the current sample for the latency ratio, and the number of events at that time.
    sample_start: Option<(MilliTime, u64)>,
    timeouts: StallTimeouts,
    /// Whether the response has a length or chunks; otherwise only the end of its connection ends it.
    is_framed: bool,
    body: Incoming,
    load: LoadGuard,
}

/// The outcome of forwarding a run's events.
enum RunOutcome {
    /// The stream ended regularly.
    Complete,
    /// The run failed, with the cause as it appears in logs.
    Broken(&'static str),
    /// A shared part of the prompt is refused by now because it crashes engines.
    Refused,
    /// The caller has disconnected.
    CallerLeft,
    /// The caller has not read the events by its deadline.
    CallerStalled,
}

/// A model request that is run on one or more chains in turn.
pub(super) struct StreamRelay {
    state: Rc<NodeState>,
    relay: RelayRequest,
    plan: AttemptPlan,
    /// The identifiers of the engines that are not used again for this request.
    excluded: Vec<String>,
    /// The addresses of the engines to which the request was sent.
    sent_to: Vec<SocketAddr>,
    splitter: EventSplitter,
    /// How far the answer of the present run has come.
    progress: AnswerProgress,
    run: Option<ChainRun>,
    /// The time at which the request was last sent to a chain.
    sent_at: MilliTime,
    /// The first engine of the last run, if it broke off while its answer had only just begun, until the next
    /// attempt.
    broken_head: Option<BrokenHead>,
    /// Whether a retry was taken from the budget and not used yet.
    holds_retry: bool,
}

impl StreamRelay {
    /// Creates the relay of a request that has not been sent.
    pub(super) fn new(state: Rc<NodeState>, relay: RelayRequest) -> StreamRelay {
        let plan = AttemptPlan::for_route(relay.route());
        let last_event = relay.caller.last_event.as_deref();
        let last_id = last_event.and_then(|text| text.trim().parse().ok());
        StreamRelay {
            state,
            relay,
            plan,
            excluded: Vec::new(),
            sent_to: Vec::new(),
            splitter: EventSplitter::new(last_id),
            progress: AnswerProgress::new(),
            run: None,
            sent_at: MilliTime::default(),
            broken_head: None,
            holds_retry: false,
        }
    }

    /// Returns the identifier of the request.
    pub(super) fn request_id(&self) -> &str {
        &self.relay.caller.id
    }

    /// Sends the request to one chain after the other until one serves it or no further attempt is
    /// possible.
    pub(super) async fn open(&mut self, log: &mut RequestLog) -> OpenOutcome {
        let mut failure = None;
        let mut retry_after_ms = None;
        loop {
            self.await_crash_reports().await;
            if !self.may_send(log) {
                break;
            }
            let chain = match self.find_chain_or_wait(log).await {
                Ok(chain) => chain,
                Err(retry_ms) => {
                    retry_after_ms = retry_ms;
                    break;
                }
            };
            if self.plan.sends() == 0
                && let Some(kind) = self.relay.withdrawn_permission(&self.state)
            {
                return OpenOutcome::Refused(kind, None);
            }
            // The part may have been refused while the request waited for capacity.
            if self.is_refused() {
                log.add_cause("crashes engines");
                if !self.plan.may_have_run() {
                    return OpenOutcome::Refused(RefusalKind::Crasher, None);
                }
                break;
            }
            match self.send(chain, log).await {
                Ok(OpenOutcome::Streaming(parts)) => return OpenOutcome::Streaming(parts),
                Ok(error_response) => {
                    self.plan.record_end(AttemptEnd::Failed);
                    log.add_cause("engine failed");
                    failure = Some(error_response);
                }
                Err(end) => {
                    self.plan.record_end(end);
                    log.add_cause(end.as_str());
                }
            }
        }
        if let Some(error_response) = failure {
            return error_response;
        }
        let is_late = self.state.clock.now() >= self.relay.deadline;
        let kind = RefusalKind::unanswered(self.plan.may_have_run(), is_late);
        match retry_after_ms {
            Some(_) if kind == RefusalKind::NoEngine => {
                OpenOutcome::Refused(RefusalKind::Overloaded, retry_after_ms)
            }
            _ => OpenOutcome::Refused(kind, retry_after_ms),
        }
    }

    /// Forwards events until the stream ends, resuming it on another chain when a run fails.
    pub(super) async fn run(&mut self, caller: &CallerStream, log: &mut RequestLog) {
        loop {
            let cause = match self.forward_events(caller, log).await {
                RunOutcome::Complete => {
                    record_parts_served(&self.state, &self.relay);
                    record_served(&self.state, &self.relay);
                    log.set_outcome("served");
                    caller.finish();
                    return;
                }
                RunOutcome::Refused => {
                    log.add_cause("crashes engines");
                    log.set_outcome("cut");
                    return;
                }
                RunOutcome::CallerLeft => return,
                RunOutcome::CallerStalled => {
                    log.set_outcome("caller-stalled");
                    return;
                }
                RunOutcome::Broken(cause) => cause,
            };
            log.add_cause(cause);
            self.plan.record_end(AttemptEnd::Broken);
            if let Some(run) = self.run.take() {
                self.record_broken_run(&run.stages);
                let ids = run.stages.into_iter().map(|stage| stage.id);
                self.excluded.extend(ids);
            }
            self.splitter = EventSplitter::new(self.splitter.last_id());
            self.progress = AnswerProgress::new();
            // Without event identifiers, another run would repeat events that the caller already has.
            let may_resume = self.splitter.last_id().is_some() || !log.has_piece();
            if !may_resume || !self.resume(log).await {
                // The stream is not finished, so the caller sees that it broke off.
                self.state.metrics.count_cut_stream(cause);
                log.set_outcome("cut");
                return;
            }
        }
    }

    /// Sends the request to another chain after a failed run; returns whether a chain continues the stream.
    async fn resume(&mut self, log: &mut RequestLog) -> bool {
        matches!(self.open(log).await, OpenOutcome::Streaming(_))
    }

    /// Sends the request to a chain and waits for the head of the response.
    async fn send(
        &mut self,
        chain: FoundChain,
        log: &mut RequestLog,
    ) -> Result<OpenOutcome, AttemptEnd> {
        let unloaded_step_ms = chain.unloaded_step_ms;
        let chain = chain.stages;
        let ids: Vec<&str> = chain.iter().map(|stage| stage.id.as_str()).collect();
        log.record_send(&ids.join("+"));
        let shape = self.relay.service().model.as_ref();
        let usual_answer = shape.map_or(0.0, |shape| shape.usual_answer);
        let tokens = self.relay.caller.size.reserved_tokens(usual_answer);
        let prompt = f64::from(self.relay.caller.size.prompt_tokens);
        let load = LoadGuard::for_chain(&self.state, &chain, tokens, prompt);
        self.sent_at = self.state.clock.now();
        let left_ms = self.relay.deadline.since(self.sent_at);
        let last_event = self.splitter.last_id().map(|id| id.to_string());
        let call = EngineCall {
            expected_id: &chain[0].id,
            deadline_ms: left_ms,
            account: self.relay.account().map(|account| account.name.as_str()),
            priority: self.relay.priority(),
            last_event: last_event.as_deref(),
            chain: &chain,
        };
        let headers = self
            .state
            .format
            .encode_request_headers(&self.relay.parts.headers, &call);
        // On a kept connection, a refusal of the first send could not be told from one of the second.
        let is_again = self.sent_to.contains(&chain[0].address);
        self.sent_to.push(chain[0].address);
        let sent = self.state.engine_client.send(
            chain[0].address,
            &self.relay.parts.method,
            self.relay.path(),
            headers,
            self.relay.body.clone(),
            is_again || self.relay.route().repeat == RepeatRule::AtMostOnce,
        );
        let target_ms = self.relay.route().target_ms;
        let mut timeouts = StallTimeouts::new(
            self.state.clock.now(),
            target_ms / FIRST_EVENT_PROBE_DIVISOR,
            target_ms * FIRST_EVENT_FAILOVER_FACTOR,
        );
        let mut sent = std::pin::pin!(sent);
        let response = match self
            .await_progress(&chain, &mut timeouts, sent.as_mut())
            .await
        {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent { is_refused, .. })) => {
                if is_refused {
                    record_refused_connection(&self.state, &chain[0].id);
                }
                self.record_failure(&chain[0].id);
                return Err(AttemptEnd::NotSent);
            }
            Ok(Err(SendError::Broken { .. })) => {
                let now = self.state.clock.now();
                let id = &chain[0].id;
                self.state
                    .view
                    .borrow_mut()
                    .engines
                    .record_broken_answer(id, now);
                self.record_broken_run(&chain);
                self.excluded.push(id.clone());
                return Err(AttemptEnd::Broken);
            }
            Err(StallReason::Refused) => return Err(AttemptEnd::Broken),
            Err(_) => {
                self.record_broken_run(&chain);
                return Err(AttemptEnd::Broken);
            }
        };
        self.handle_head(chain, unloaded_step_ms, response, load)
            .await
    }

    /// Handles the head of a response: starts the run, or records the rejection.
    async fn handle_head(
        &mut self,
        chain: Vec<ChainStage>,
        unloaded_step_ms: f64,
        response: Response<Incoming>,
        load: LoadGuard,
    ) -> Result<OpenOutcome, AttemptEnd> {
        let class =
            ResponseClass::classify(&self.state, &chain[0].id, &self.relay.caller.id, &response);
        let (parts, body) = response.into_parts();
        match class {
            ResponseClass::Served => {
                let mut view = self.state.view.borrow_mut();
                for stage in &chain {
                    view.engines.record_success(&stage.id);
                }
                drop(view);
                self.run = Some(ChainRun {
                    stages: chain,
                    unloaded_step_ms,
                    sample_start: None,
                    timeouts: self.event_timeouts(),
                    is_framed: is_framed(&parts.headers),
                    body,
                    load,
                });
                Ok(OpenOutcome::Streaming(parts))
            }
            ResponseClass::Rejected {
                fault_address,
                is_paused,
            } => {
                self.record_rejection(fault_address.as_deref(), is_paused, &chain);
                Err(AttemptEnd::Rejected)
            }
            ResponseClass::Failed => match self.read_error_body(body).await {
                Some(body) => Ok(OpenOutcome::ErrorResponse(parts, body)),
                None => Err(AttemptEnd::Broken),
            },
            ResponseClass::Foreign => {
                self.excluded.push(chain[0].id.clone());
                Err(AttemptEnd::Broken)
            }
        }
    }

    /// Reads the body of an error response; `None` if it is not whole by the deadline.
    async fn read_error_body(&self, body: Incoming) -> Option<Bytes> {
        let left_ms = self.relay.deadline.since(self.state.clock.now());
        let read = tokio::time::timeout(Duration::from_millis(left_ms), read_whole(body));
        read.await.ok()?.ok()
    }
}

/// Returns whether the end of a response's body can be told from the end of its connection.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
