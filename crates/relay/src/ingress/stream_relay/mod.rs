//! One model request on its way through one or more chains.

mod choice;
mod events;
mod stall_end;
mod stall_waits;
mod stall_watch;

use std::rc::Rc;

use bytes::Bytes;
use dandelionroad_core::chain::ChainPart;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::relay::AttemptEnd;
use dandelionroad_core::relay::AttemptPlan;
use dandelionroad_core::relay::EventSplitter;
use dandelionroad_core::relay::RepeatRule;
use dandelionroad_core::time::MilliTime;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::crash_report::record_refused_connection;
use crate::engine::LoadGuard;
use crate::engine::SendError;
use crate::node::NodeState;
use crate::telemetry::RequestLog;
use crate::wire::EngineCall;
use crate::wire::RefusalKind;

use super::crash_check::record_broken_run;
use super::crash_check::record_served;
use super::open_outcome::OpenOutcome;
use super::relay_request::RelayRequest;
use super::response_class::ResponseClass;

use self::stall_waits::StallWaits;

/// The share of the wanted time to the first event after which a silent chain is asked what it waits
/// for, as a divisor.
///
/// A sound chain answers within a fifth of that time, and a second one after half of it is in time.
const ASK_DIVISOR: u64 = 2;

/// How long the first event may take before the request is moved to another chain though its engines
/// say that they are well, as a factor of the wanted time.
const MOVE_FACTOR: u64 = 2;

/// A run of the request on one chain.
struct ChainRun {
    parts: Vec<ChainPart>,
    /// The time of a token step of a lone request, in milliseconds.
    base_ms: f64,
    /// When the events were counted last from which the pace is taken, and their number then.
    paced: Option<(MilliTime, u64)>,
    body: Incoming,
    load: LoadGuard,
}

/// How reading a run's events ended.
enum RunEnd {
    Complete,
    Broken(&'static str),
    CallerLeft,
}

/// One model request on its way through one or more chains.
pub(super) struct StreamRelay {
    state: Rc<NodeState>,
    relay: RelayRequest,
    plan: AttemptPlan,
    excluded: Vec<String>,
    splitter: EventSplitter,
    run: Option<ChainRun>,
    /// Whether a repeated send was taken from the budget already.
    has_retry: bool,
}

impl StreamRelay {
    /// Creates the relay of a request that was not sent yet.
    pub(super) fn new(state: Rc<NodeState>, relay: RelayRequest) -> StreamRelay {
        let plan = AttemptPlan::for_route(relay.route());
        let last_event = relay.caller.last_event.as_deref();
        let last_id = last_event.and_then(|text| text.trim().parse().ok());
        StreamRelay {
            state,
            relay,
            plan,
            excluded: Vec::new(),
            splitter: EventSplitter::new(last_id),
            run: None,
            has_retry: false,
        }
    }

    /// Returns the identifier of the request.
    pub(super) fn request_id(&self) -> &str {
        &self.relay.caller.id
    }

    /// Sends the request until a chain serves it or nothing is left to try.
    pub(super) async fn open(&mut self, log: &mut RequestLog) -> OpenOutcome {
        let mut failure = None;
        let mut retry_after_ms = None;
        while self.may_send(log) {
            let chain = match self.find_or_wait(log).await {
                Ok(chain) => chain,
                Err(retry_ms) => {
                    retry_after_ms = retry_ms;
                    break;
                }
            };
            match self.send(chain, log).await {
                Ok(OpenOutcome::Streaming(parts)) => return OpenOutcome::Streaming(parts),
                Ok(answered) => {
                    self.plan.end(AttemptEnd::Failed);
                    log.add_cause("engine failed");
                    failure = Some(answered);
                }
                Err(end) => {
                    self.plan.end(end);
                    log.add_cause(end.as_str());
                }
            }
        }
        if let Some(answered) = failure {
            return answered;
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

    /// Passes the events on until the stream ends; goes on at another chain when one breaks off.
    pub(super) async fn run(
        &mut self,
        sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
        log: &mut RequestLog,
    ) {
        loop {
            let cause = match self.pass_events(sender, log).await {
                RunEnd::Complete => {
                    record_served(&self.state, &self.relay);
                    log.set_outcome("served");
                    return;
                }
                RunEnd::CallerLeft => return,
                RunEnd::Broken(cause) => cause,
            };
            log.add_cause(cause);
            if self.splitter.events() == 0
                && let Some(run) = &self.run
            {
                self.record_broken_run(&run.parts);
            }
            self.plan.end(AttemptEnd::Broken);
            self.end_run();
            self.splitter = EventSplitter::new(self.splitter.last_id());
            // Without identifiers, another run would repeat what the caller has.
            let may_resume = self.splitter.last_id().is_some() || !log.has_piece();
            if !may_resume || !self.resume(log).await {
                log.set_outcome("cut");
                let error = std::io::Error::other("the stream broke off");
                // The caller may have left meanwhile, which ends the stream as well.
                let _ = sender.send(Err(error)).await;
                return;
            }
        }
    }

    async fn resume(&mut self, log: &mut RequestLog) -> bool {
        matches!(self.open(log).await, OpenOutcome::Streaming(_))
    }

    async fn send(
        &mut self,
        chain: FoundChain,
        log: &mut RequestLog,
    ) -> Result<OpenOutcome, AttemptEnd> {
        let base_ms = chain.base_ms;
        let chain = chain.parts;
        let ids: Vec<&str> = chain.iter().map(|part| part.id.as_str()).collect();
        log.record_send(&ids.join("+"));
        let shape = self.relay.service().model.as_ref();
        let usual = shape.map_or(0.0, |shape| shape.usual_answer);
        let tokens = self.relay.caller.size.reserved_tokens(usual);
        let prompt = f64::from(self.relay.caller.size.prompt_tokens);
        let load = LoadGuard::for_chain(&self.state, &chain, tokens, prompt);
        let left_ms = self.relay.deadline.since(self.state.clock.now());
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
        let sent = self.state.engine_client.send(
            chain[0].address,
            &self.relay.parts.method,
            self.relay.path(),
            headers,
            self.relay.body.clone(),
            self.relay.route().repeat == RepeatRule::AtMostOnce,
        );
        let target_ms = self.relay.route().target_ms;
        let waits = StallWaits {
            ask_ms: target_ms / ASK_DIVISOR,
            move_ms: target_ms * MOVE_FACTOR,
        };
        let mut sent = std::pin::pin!(sent);
        let response = match self.watch_run(&chain, waits, sent.as_mut()).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent { is_refused, .. })) => {
                if is_refused {
                    record_refused_connection(&self.state, &chain[0].id);
                }
                self.blame(&chain[0].id);
                return Err(AttemptEnd::NotSent);
            }
            Ok(Err(SendError::Broken { .. })) => {
                let now = self.state.clock.now();
                let id = &chain[0].id;
                self.state.view.borrow_mut().engines.break_off(id, now);
                self.record_broken_run(&chain);
                self.excluded.push(id.clone());
                return Err(AttemptEnd::Broken);
            }
            Err(_) => {
                self.record_broken_run(&chain);
                return Err(AttemptEnd::Broken);
            }
        };
        self.take_head(chain, base_ms, response, load).await
    }

    async fn take_head(
        &mut self,
        chain: Vec<ChainPart>,
        base_ms: f64,
        response: Response<Incoming>,
        load: LoadGuard,
    ) -> Result<OpenOutcome, AttemptEnd> {
        let class = ResponseClass::classify(&self.state, &self.relay.caller.id, &response);
        let (parts, body) = response.into_parts();
        match class {
            ResponseClass::Served => {
                let mut view = self.state.view.borrow_mut();
                chain.iter().for_each(|part| view.engines.succeed(&part.id));
                drop(view);
                self.run = Some(ChainRun {
                    parts: chain,
                    base_ms,
                    paced: None,
                    body,
                    load,
                });
                Ok(OpenOutcome::Streaming(parts))
            }
            ResponseClass::Rejected { fault_address } => {
                self.blame_address(fault_address.as_deref(), &chain);
                Err(AttemptEnd::Rejected)
            }
            ResponseClass::Failed => match body.collect().await {
                Ok(body) => Ok(OpenOutcome::ErrorResponse(parts, body.to_bytes())),
                Err(_) => Err(AttemptEnd::Broken),
            },
            ResponseClass::Foreign => Err(AttemptEnd::Broken),
        }
    }

    /// Ends the present run; its engines are not used again for this request.
    fn end_run(&mut self) {
        if let Some(run) = self.run.take() {
            self.excluded
                .extend(run.parts.into_iter().map(|part| part.id));
        }
    }

    fn record_broken_run(&self, parts: &[ChainPart]) {
        let ids: Vec<&str> = parts.iter().map(|part| part.id.as_str()).collect();
        record_broken_run(&self.state, &self.relay, &ids);
    }

    fn blame(&mut self, id: &str) {
        let now = self.state.clock.now();
        self.state.view.borrow_mut().engines.fail(id, now);
        self.excluded.push(id.to_owned());
    }

    /// Avoids the engine at fault, or the first of the chain if none is named.
    fn blame_address(&mut self, address: Option<&str>, chain: &[ChainPart]) {
        let named = chain
            .iter()
            .find(|part| Some(part.address.to_string().as_str()) == address);
        let id = named.unwrap_or(&chain[0]).id.clone();
        self.blame(&id);
    }
}
