use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::ChainPart;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::relay::AttemptEnd;
use dandelionroad_core::relay::AttemptPlan;
use dandelionroad_core::relay::EventSplitter;
use dandelionroad_core::time::MilliTime;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Frame;
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
use super::room_wait::wait_for_room;
use super::stream_driver::refusal_kind;

/// The share of the wanted time to the first event for which a request waits for room, as a divisor.
///
/// The first event takes a tenth to a fifth of that time once the request is sent.
const ROOM_WAIT_DIVISOR: u64 = 2;

/// How long an event may take before its engines are suspected, as a factor of the wanted pause.
const SUSPECT_FACTOR: u64 = 2;

/// How long an event may take before the stream is moved to another chain, as a factor of the time
/// after which its engines are suspected.
///
/// Callers leave after two seconds without an event; the new chain has to read the prompt first.
const MOVE_FACTOR: u64 = 2;

/// The time between two notes of a stream's progress, in milliseconds.
const PROGRESS_MS: u64 = 100;

/// The least time that is left for a further attempt, in milliseconds.
const LEAST_ATTEMPT_MS: u64 = 200;

/// What opening a stream led to.
pub(super) enum StreamOpened {
    /// Events are to follow.
    Streaming(Parts),
    /// An engine answered with an error.
    Answered(Parts, Bytes),
    /// The request is refused; its caller may return after the given time, in milliseconds.
    Refused(RefusalKind, Option<u64>),
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

/// Bytes of a run, none at its end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

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
    /// When the progress of the run was last noted.
    noted: MilliTime,
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
            noted: MilliTime::default(),
        }
    }

    /// Returns the identifier of the request.
    pub(super) fn request_id(&self) -> &str {
        &self.relay.caller.id
    }

    /// Sends the request until a chain serves it or nothing is left to try.
    pub(super) async fn open(&mut self, log: &mut RequestLog) -> StreamOpened {
        let mut failure = None;
        let mut retry_after_ms = None;
        while self.may_send() {
            let chain = match self.find_or_wait(log).await {
                Ok(chain) => chain,
                Err(retry_ms) => {
                    retry_after_ms = retry_ms;
                    break;
                }
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
        let kind = refusal_kind(self.plan.may_have_run(), is_late);
        match retry_after_ms {
            Some(_) if kind == RefusalKind::NoEngine => {
                StreamOpened::Refused(RefusalKind::Overloaded, retry_after_ms)
            }
            _ => StreamOpened::Refused(kind, retry_after_ms),
        }
    }

    /// Finds a chain; a request that was not sent yet waits for room in its turn.
    async fn find_or_wait(&mut self, log: &mut RequestLog) -> Result<Vec<ChainPart>, Option<u64>> {
        if self.plan.sends() > 0 {
            return self.find_chain().map_err(|shortage| {
                log.failed(&shortage);
                None
            });
        }
        let is_first = self.state.waiting.borrow().is_empty();
        let shortage = match is_first {
            true => match self.find_chain() {
                Ok(chain) => return Ok(chain),
                Err(shortage) => shortage,
            },
            false => "others wait".to_owned(),
        };
        let wait_ms = self.relay.route().target_ms / ROOM_WAIT_DIVISOR;
        let until = log.arrived().plus(wait_ms).min(self.relay.deadline);
        let state = Rc::clone(&self.state);
        let found = wait_for_room(&state, self.relay.priority(), until, || {
            self.find_chain().ok()
        });
        found.await.map_err(|retry_ms| {
            log.failed(&shortage);
            Some(retry_ms)
        })
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
        self.take_retry()
    }

    /// Takes a repeated send from the budget, unless one was taken already.
    fn take_retry(&mut self) -> bool {
        if std::mem::take(&mut self.has_retry) {
            return true;
        }
        let is_allowed = self.state.view.borrow_mut().retries.try_retry();
        let cause = if is_allowed { "stream" } else { "budget" };
        self.state.metrics.count_retry(cause);
        is_allowed
    }

    /// Returns whether a stalled run should be given up, because another chain can take over.
    fn may_move(&mut self, parts: &[ChainPart]) -> bool {
        let left_ms = self.relay.deadline.since(self.state.clock.now());
        if left_ms < LEAST_ATTEMPT_MS || !self.plan.may_send_after_run() {
            return false;
        }
        let known = self.excluded.len();
        self.excluded
            .extend(parts.iter().map(|part| part.id.clone()));
        let may_move = self.find_chain().is_ok() && self.take_retry();
        if may_move {
            self.has_retry = true;
        } else {
            self.excluded.truncate(known);
        }
        may_move
    }

    /// Avoids the engines of a stalled run that show no progress with other requests either.
    fn suspect(&self, parts: &[ChainPart], quiet_ms: u64) {
        let now = self.state.clock.now();
        let mut view = self.state.view.borrow_mut();
        for part in parts {
            if view.engines.suspect(&part.id, quiet_ms, now) {
                spdlog::info!("engines: avoided, stalled", kv: {
                    engine = part.id.as_str(),
                    request = self.relay.caller.id.as_str(),
                    quiet_ms = quiet_ms,
                });
            }
        }
    }

    /// Notes that the run's engines go on.
    fn note_progress(&mut self) {
        let now = self.state.clock.now();
        if now.since(self.noted) < PROGRESS_MS {
            return;
        }
        self.noted = now;
        let mut view = self.state.view.borrow_mut();
        for part in self.run.iter().flat_map(|run| &run.parts) {
            view.engines.progress(&part.id, now);
        }
    }

    /// Finds a chain within a zone, or one that crosses zones if the rate between them allows it.
    ///
    /// # Errors
    ///
    /// Returns which layer is short of what.
    fn find_chain(&self) -> Result<Vec<ChainPart>, String> {
        let Some(shape) = self.relay.service().model.as_ref() else {
            return Err("no model".to_owned());
        };
        let now = self.state.clock.now();
        let mut view = self.state.view.borrow_mut();
        let tokens = self.relay.caller.size.reserved_tokens(shape.usual_answer);
        let mut request = FinderRequest {
            tokens,
            zone: &self.state.settings.zone,
            excluded: &self.excluded,
            may_cross: false,
            now,
        };
        let service = &self.relay.service().name;
        let near = ChainFinder::new(&view.engines, service, shape).find(&request);
        if let Some(chain) = near {
            return Ok(chain.parts);
        }
        let processes = view.processes;
        request.may_cross = view.crossings.is_open(shape, processes, now);
        let finder = ChainFinder::new(&view.engines, service, shape);
        let far = finder.find(&request).filter(|_| request.may_cross);
        let Some(chain) = far else {
            let shortage = finder.shortage(&request);
            return Err(format!("{} ({})", shortage.as_str(), shortage.layer()));
        };
        view.crossings.take(tokens, chain.crossings);
        Ok(chain.parts)
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
        let target_ms = self.relay.route().target_ms;
        let mut sent = std::pin::pin!(sent);
        let mut waits = [target_ms, target_ms, u64::MAX].into_iter();
        let response = loop {
            let left_ms = self.relay.deadline.since(self.state.clock.now());
            let wait_ms = waits.next().unwrap_or(u64::MAX).min(left_ms);
            match tokio::time::timeout(Duration::from_millis(wait_ms), sent.as_mut()).await {
                Ok(Ok(response)) => break response,
                Ok(Err(fault)) => {
                    self.blame(&chain[0].id);
                    return Err(match fault {
                        SendFault::NotSent { .. } => AttemptEnd::NotSent,
                        SendFault::Broken { .. } => AttemptEnd::Broken,
                    });
                }
                Err(_) if wait_ms >= left_ms => return Err(AttemptEnd::Broken),
                Err(_) => {
                    self.suspect(&chain, target_ms);
                    // The last wait is for what is left: nobody else could take over.
                    if waits.len() == 1 && self.may_move(&chain) {
                        return Err(AttemptEnd::Broken);
                    }
                }
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
        loop {
            let frame = match self.next_frame().await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return RunEnd::Broken("stream cut"),
                Ok(None) if self.splitter.has_rest() => return RunEnd::Broken("event cut"),
                Ok(None) => return RunEnd::Complete,
                Err(cause) => return RunEnd::Broken(cause),
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
            self.note_progress();
            if sender.send(Ok(Bytes::from(whole))).await.is_err() {
                return RunEnd::CallerLeft;
            }
        }
    }

    /// Waits for bytes of the run; a stalled one is given up only if another chain can take over.
    async fn next_frame(&mut self) -> Result<NextFrame, &'static str> {
        let Some(mut run) = self.run.take() else {
            return Err("no run");
        };
        let suspect_ms = self.relay.route().gap_target_ms * SUSPECT_FACTOR;
        let move_ms = suspect_ms * (MOVE_FACTOR - 1);
        let mut waits = [suspect_ms, move_ms, u64::MAX].into_iter();
        let result = loop {
            let left_ms = self.relay.deadline.since(self.state.clock.now());
            let wait_ms = waits.next().unwrap_or(u64::MAX).min(left_ms);
            let frame = tokio::time::timeout(Duration::from_millis(wait_ms), run.body.frame());
            match frame.await {
                Ok(frame) => break Ok(frame),
                Err(_) if wait_ms >= left_ms => break Err("out of time"),
                Err(_) => {
                    self.suspect(&run.parts, suspect_ms);
                    if waits.len() == 1 && self.may_move(&run.parts) {
                        break Err("stalled");
                    }
                }
            }
        };
        self.run = Some(run);
        result
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
