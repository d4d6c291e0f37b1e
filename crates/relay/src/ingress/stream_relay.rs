use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::ChainPart;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::relay::AttemptEnd;
use dandelionroad_core::relay::AttemptPlan;
use dandelionroad_core::relay::EventSplitter;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use tokio::sync::mpsc;

use crate::engine::LoadGuard;
use crate::engine::SendFault;
use crate::node::NodeState;
use crate::telemetry::RequestLog;
use crate::wire::EngineCall;
use crate::wire::RefusalKind;

use super::engine_reply::EngineReply;
use super::plain_driver::lost_text;
use super::relay_request::RelayRequest;
use super::stream_driver::refusal_kind;

/// How long the first event may take beyond the wanted time before another chain is tried, as a
/// factor.
const FIRST_EVENT_FACTOR: u64 = 2;

/// How long a pause between events may take before the stream goes on at another chain, as a factor
/// of the wanted pause.
const GAP_FACTOR: u64 = 4;

/// The least time that is left for a further attempt, in milliseconds.
const LEAST_ATTEMPT_MS: u64 = 200;

/// What opening a stream led to.
pub(super) enum StreamOpened {
    /// Events are to follow.
    Streaming(Parts),
    /// An engine answered with an error.
    Answered(Parts, Bytes),
    /// The request is refused.
    Refused(RefusalKind),
}

/// A run of the request on one chain.
struct ChainRun {
    parts: Vec<ChainPart>,
    body: Incoming,
    _load: LoadGuard,
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
        }
    }

    /// Returns the identifier of the request.
    pub(super) fn request_id(&self) -> &str {
        &self.relay.caller.id
    }

    /// Sends the request until a chain serves it or nothing is left to try.
    pub(super) async fn open(&mut self, log: &mut RequestLog) -> StreamOpened {
        let mut failure = None;
        while self.may_send() {
            let Some(chain) = self.find_chain(log) else {
                break;
            };
            match self.send(chain, log).await {
                Ok(StreamOpened::Streaming(parts)) => return StreamOpened::Streaming(parts),
                Ok(answered) => {
                    self.plan.end(AttemptEnd::Failed);
                    log.failed("engine failed");
                    failure = Some(answered);
                }
                Err(end) => {
                    self.plan.end(end);
                    log.failed(lost_text(end));
                }
            }
        }
        if let Some(answered) = failure {
            return answered;
        }
        let is_late = self.state.clock.now() >= self.relay.deadline;
        StreamOpened::Refused(refusal_kind(self.plan.may_have_run(), is_late))
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
                    log.end("served");
                    return;
                }
                RunEnd::CallerLeft => return,
                RunEnd::Broken(cause) => cause,
            };
            log.failed(cause);
            self.plan.end(AttemptEnd::Broken);
            self.end_run();
            self.splitter = EventSplitter::new(self.splitter.last_id());
            if !self.resume(log).await {
                log.end("cut");
                let error = std::io::Error::other("the stream broke off");
                // The caller may have left meanwhile, which ends the stream as well.
                let _ = sender.send(Err(error)).await;
                return;
            }
        }
    }

    async fn resume(&mut self, log: &mut RequestLog) -> bool {
        matches!(self.open(log).await, StreamOpened::Streaming(_))
    }

    fn may_send(&mut self) -> bool {
        let left_ms = self.relay.deadline.since(self.state.clock.now());
        if self.plan.sends() == 0 {
            return left_ms > 0;
        }
        if left_ms < LEAST_ATTEMPT_MS || !self.plan.may_send() {
            return false;
        }
        let is_allowed = self.state.view.borrow_mut().retries.try_retry();
        let cause = if is_allowed { "stream" } else { "budget" };
        self.state.metrics.count_retry(cause);
        is_allowed
    }

    fn find_chain(&self, log: &mut RequestLog) -> Option<Vec<ChainPart>> {
        let shape = self.relay.service().model.as_ref()?;
        let view = self.state.view.borrow();
        let request = FinderRequest {
            tokens: self.relay.caller.size.reserved_tokens(shape.usual_answer),
            zone: &self.state.settings.zone,
            excluded: &self.excluded,
            now: self.state.clock.now(),
        };
        let finder = ChainFinder::new(&view.engines, &self.relay.service().name, shape);
        let chain = finder.find(&request);
        if chain.is_none() {
            let shortage = finder.shortage(&request);
            log.failed(&format!("{} ({})", shortage.as_str(), shortage.layer()));
        }
        chain.map(|chain| chain.parts)
    }

    async fn send(
        &mut self,
        chain: Vec<ChainPart>,
        log: &mut RequestLog,
    ) -> Result<StreamOpened, AttemptEnd> {
        let ids: Vec<&str> = chain.iter().map(|part| part.id.as_str()).collect();
        log.sent(&ids.join("+"));
        let shape = self.relay.service().model.as_ref();
        let usual = shape.map_or(0.0, |shape| shape.usual_answer);
        let tokens = self.relay.caller.size.reserved_tokens(usual);
        let load = LoadGuard::for_chain(&self.state, &chain, tokens);
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
            .encode_headers(&self.relay.parts.headers, &call);
        let sent = self.state.engines.send(
            chain[0].address,
            &self.relay.parts.method,
            self.relay.path(),
            headers,
            self.relay.body.clone(),
            false,
        );
        let wait_ms = left_ms.min(self.relay.route().target_ms * FIRST_EVENT_FACTOR);
        let response = match tokio::time::timeout(Duration::from_millis(wait_ms), sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendFault::NotSent { .. })) => {
                self.blame(&chain[0].id);
                return Err(AttemptEnd::NotSent);
            }
            Ok(Err(SendFault::Broken { .. })) => {
                self.blame(&chain[0].id);
                return Err(AttemptEnd::Broken);
            }
            Err(_) => {
                self.excluded
                    .extend(chain.iter().map(|part| part.id.clone()));
                return Err(AttemptEnd::Broken);
            }
        };
        self.take_head(chain, response, load).await
    }

    async fn take_head(
        &mut self,
        chain: Vec<ChainPart>,
        response: Response<Incoming>,
        load: LoadGuard,
    ) -> Result<StreamOpened, AttemptEnd> {
        let reply = EngineReply::read(&self.state, &self.relay.caller.id, &response);
        let (parts, body) = response.into_parts();
        match reply {
            EngineReply::Served => {
                self.run = Some(ChainRun {
                    parts: chain,
                    body,
                    _load: load,
                });
                Ok(StreamOpened::Streaming(parts))
            }
            EngineReply::Rejected { fault_address } => {
                self.blame_address(fault_address.as_deref(), &chain);
                Err(AttemptEnd::Rejected)
            }
            EngineReply::Failed => match body.collect().await {
                Ok(body) => Ok(StreamOpened::Answered(parts, body.to_bytes())),
                Err(_) => Err(AttemptEnd::Broken),
            },
            EngineReply::Foreign => Err(AttemptEnd::Broken),
        }
    }

    async fn pass_events(
        &mut self,
        sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
        log: &mut RequestLog,
    ) -> RunEnd {
        let gap_ms = self.relay.route().gap_target_ms * GAP_FACTOR;
        let Some(run) = self.run.as_mut() else {
            return RunEnd::Broken("no run");
        };
        loop {
            let left_ms = self.relay.deadline.since(self.state.clock.now());
            let wait = Duration::from_millis(gap_ms.min(left_ms));
            let frame = match tokio::time::timeout(wait, run.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return RunEnd::Broken("stream cut"),
                Ok(None) if self.splitter.has_rest() => return RunEnd::Broken("event cut"),
                Ok(None) => return RunEnd::Complete,
                Err(_) => return RunEnd::Broken("stalled"),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let whole = match self.splitter.push(&data) {
                Ok(whole) => whole,
                Err(_) => return RunEnd::Broken("event out of order"),
            };
            if whole.is_empty() {
                continue;
            }
            log.piece();
            if sender.send(Ok(Bytes::from(whole))).await.is_err() {
                return RunEnd::CallerLeft;
            }
        }
    }

    /// Ends the present run; its engines are not used again for this request.
    fn end_run(&mut self) {
        if let Some(run) = self.run.take() {
            self.excluded
                .extend(run.parts.into_iter().map(|part| part.id));
        }
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
