//! A model request that is run on a chain of engines, and on further chains if a run fails.
//!
//! The relay sends the request to the first engine of a chain, which returns a stream of events with
//! increasing identifiers. A run fails if its connection breaks, or an event is truncated or out of order. The
//! request is then sent to another chain with the identifier of the last forwarded event, after which that
//! chain continues, so the caller sees one uninterrupted stream. A stream whose events have no identifiers is
//! not resumed.
//!
//! On a route whose answers are no streams, the answer is read whole before it is passed on, and counts as one event.
//!
//! A run that stalls may still go on: a sound engine can be silent for a second or so. Another run is started
//! beside it, and the first of them that sends a new event ends the others.

mod chain_choice;
mod chain_run;
mod crash_wait;
mod event_forwarding;
mod failover;
mod head_outcome;
mod head_wait;
mod run_exchange;
mod run_signal;
mod run_step;
mod shortage_choice;
mod stall_detection;
mod stall_reason;
mod stall_timeouts;

pub(super) use self::event_forwarding::fault_cause;
pub(super) use self::failover::OUT_OF_BUDGET;

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use dandelionroad_core::chain::ChainStage;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::relay::AnswerProgress;
use dandelionroad_core::relay::AttemptPlan;
use dandelionroad_core::relay::ByteSource;
use dandelionroad_core::relay::EventSplitter;
use dandelionroad_core::relay::RepeatRule;
use dandelionroad_core::time::MilliTime;

use crate::engine::LoadGuard;
use crate::node::NodeState;
use crate::telemetry::RequestLog;
use crate::wire::EngineCall;
use crate::wire::RefusalKind;

use super::caller_body::CallerStream;
use super::crash_check::record_parts_served;
use super::crash_check::record_served;
use super::open_outcome::OpenOutcome;
use super::part_trial::PartTrial;
use super::relay_request::RelayRequest;

use self::chain_run::ChainRun;
use self::crash_wait::BrokenEngine;
use self::head_outcome::HeadOutcome;
use self::head_wait::HeadWait;
use self::run_exchange::RunExchange;
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

/// The outcome of forwarding a run's events.
enum RunOutcome {
    /// The stream ended regularly.
    Complete,
    /// All runs have failed.
    Broken,
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
    relay: Rc<RelayRequest>,
    plan: AttemptPlan,
    /// The identifiers of the engines that are not used again for this request.
    excluded: Vec<String>,
    /// The addresses of the engines to which the request was sent.
    sent_to: Vec<SocketAddr>,
    /// The identifier of the last event that was forwarded, or that the caller already had.
    last_id: Option<u64>,
    /// The runs in progress. The caller is served by the first one; the others were started while it stalled.
    runs: Vec<ChainRun>,
    /// The pause before another run is started beside stalled ones.
    crash_wait: Option<Pin<Box<dyn Future<Output = ()>>>>,
    /// The engines on which runs broke off, until the next attempt.
    broken_engines: Vec<BrokenEngine>,
    /// The trial of unproven prompt parts, until the answer has outlasted its start.
    trial: Option<PartTrial>,
    /// The earliest time at which another run may be started beside stalled ones.
    next_failover: MilliTime,
    /// Whether the request was found to crash engines while it was running, so that no other run is started.
    is_barred: bool,
    /// Whether a retry was taken from the budget and not used yet.
    holds_retry: bool,
    /// Whether the log says that the budget had no retry for a stalled run.
    has_logged_budget: bool,
    /// The cause of the last attempt's end, as it appears in metrics.
    last_cause: &'static str,
}

impl StreamRelay {
    /// Creates the relay of a request that has not been sent.
    pub(super) fn new(state: Rc<NodeState>, relay: RelayRequest) -> StreamRelay {
        let plan = AttemptPlan::for_route(relay.route());
        let last_event = relay.caller.last_event.as_deref();
        let last_id = last_event.and_then(|text| text.trim().parse().ok());
        StreamRelay {
            state,
            relay: Rc::new(relay),
            plan,
            excluded: Vec::new(),
            sent_to: Vec::new(),
            last_id,
            runs: Vec::new(),
            crash_wait: None,
            broken_engines: Vec::new(),
            trial: None,
            next_failover: MilliTime::default(),
            is_barred: false,
            holds_retry: false,
            has_logged_budget: false,
            last_cause: "",
        }
    }

    /// Returns the identifier of the request.
    pub(super) fn request_id(&self) -> &str {
        &self.relay.caller.id
    }

    /// Sends the request to chains until one serves it or no further attempt is possible.
    pub(super) async fn open(&mut self, log: &mut RequestLog) -> OpenOutcome {
        let mut failure = None;
        let mut retry_after_ms = None;
        if self.plan.sends() == 0 {
            log.set_priority(self.rank_or_priority());
            self.record_arrival();
        }
        loop {
            if self.runs.is_empty() {
                self.await_crash_reports().await;
                self.await_trials().await;
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
                self.start_run(chain, log);
            }
            match self.await_head(log).await {
                HeadWait::Served(parts) => return OpenOutcome::Streaming(parts),
                HeadWait::Answered(parts, body, held) => {
                    return OpenOutcome::Answered(parts, body, held);
                }
                HeadWait::Failed(parts, body, held) => {
                    failure = Some(OpenOutcome::ErrorResponse(parts, body, held));
                }
                HeadWait::Ended => {}
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

    /// Forwards events until the stream ends, resuming it on another chain when all runs have failed.
    pub(super) async fn run(&mut self, caller: &CallerStream, log: &mut RequestLog) {
        loop {
            match self.forward_events(caller, log).await {
                RunOutcome::Complete => {
                    self.end_other_runs(log);
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
                RunOutcome::Broken => {}
            }
            // Without event identifiers, another run would repeat events that the caller already has.
            let may_resume = self.last_id.is_some() || !log.has_piece();
            if !may_resume || !self.resume(log).await {
                // The stream is not finished, so the caller sees that it broke off.
                self.state.metrics.count_cut_stream(self.last_cause);
                log.set_outcome("cut");
                return;
            }
        }
    }

    /// Sends the request to another chain after a failed run; returns whether a chain continues the stream.
    async fn resume(&mut self, log: &mut RequestLog) -> bool {
        matches!(self.open(log).await, OpenOutcome::Streaming(_))
    }

    /// Sends the request to a chain, as a run beside those in progress.
    fn start_run(&mut self, chain: FoundChain, log: &mut RequestLog) {
        let unloaded_step_ms = chain.unloaded_step_ms;
        let stages = chain.stages;
        let ids: Vec<&str> = stages.iter().map(|stage| stage.id.as_str()).collect();
        log.record_send(&ids.join("+"));
        let tokens = self.reserved_tokens();
        let prompt = f64::from(self.relay.caller.size.prompt_tokens);
        let load = LoadGuard::for_chain(&self.state, &stages, tokens, prompt);
        let now = self.state.clock.now();
        let target_ms = self.relay.route().target_ms;
        self.begin_trial();
        let sent = self.send(&stages, now);
        self.plan.record_start();
        let held = self
            .state
            .memory
            .hold(ByteSource::Server(stages[0].address));
        self.runs.push(ChainRun {
            held,
            charged_bytes: 0,
            stages,
            unloaded_step_ms,
            sample_start: None,
            sent_at: now,
            timeouts: StallTimeouts::new(
                now,
                target_ms / FIRST_EVENT_PROBE_DIVISOR,
                target_ms.saturating_mul(FIRST_EVENT_FAILOVER_FACTOR),
            ),
            stall: None,
            is_recorded: false,
            is_complete: false,
            splitter: EventSplitter::new(self.last_id),
            progress: AnswerProgress::new(),
            forwarded_count: 0,
            ready: Vec::new(),
            head: None,
            exchange: RunExchange::Sent(sent),
            load,
        });
    }

    /// Sends the request to the first engine of a chain; the future ends with the head of the response.
    ///
    /// Dropping the future closes the connection.
    fn send(
        &mut self,
        stages: &[ChainStage],
        now: MilliTime,
    ) -> Pin<Box<dyn Future<Output = HeadOutcome>>> {
        let first = &stages[0];
        let last_event = self.last_id.map(|id| id.to_string());
        let call = EngineCall {
            expected_id: &first.id,
            deadline_ms: self.relay.engine_timeout_ms(now),
            account: self.relay.account().map(|account| account.name.as_str()),
            priority: self.rank_or_priority(),
            last_event: last_event.as_deref(),
            chain: stages,
        };
        let headers = self
            .state
            .format
            .encode_request_headers(&self.relay.parts.headers, &call);
        // On a kept connection, a refusal of the first send could not be told from one of the second.
        let is_again = self.sent_to.contains(&first.address);
        self.sent_to.push(first.address);
        let sent = self.state.engine_client.send(
            first.address,
            &self.relay.parts.method,
            self.relay.path(),
            headers,
            self.relay.body.clone(),
            is_again || self.relay.route().repeat == RepeatRule::AtMostOnce,
        );
        let (state, relay) = (Rc::clone(&self.state), Rc::clone(&self.relay));
        let (engine, address) = (first.id.clone(), first.address);
        Box::pin(async move {
            let sent = sent.await;
            HeadOutcome::read(&state, &relay, &engine, address, sent).await
        })
    }
}
