mod recovery;
mod stream_phase;

use crate::ident::EndpointName;
use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;
use crate::time::MilliTime;

use super::ChainRoute;
use super::FaultKind;
use super::StopReason;
use super::StreamAction;
use super::StreamEvent;
use super::StreamFailure;
use super::StreamLimits;
use super::StreamOrder;

use self::stream_phase::StreamPhase;

/// The state machine of one request at its entry.
///
/// The machine delivers each token to the caller exactly once and in order, reopens the stream when
/// the head goes silent, has failed stages replaced one at a time, and ends with a complete answer
/// or an explicit outcome.
#[derive(Clone, Debug)]
pub struct StreamMachine {
    limits: StreamLimits,
    /// The order of the newest attempt; `sent` holds the tokens delivered to the caller.
    order: StreamOrder,
    deadline: MilliTime,
    phase: StreamPhase,
    attempts: u32,
    /// The number of attempts that were refused, which have not run.
    refusals: u32,
    /// Sorted.
    excluded: Vec<EndpointName>,
    end: Option<(u32, StopReason)>,
    idle_since: MilliTime,
    /// Whether the stream was reopened and the head has not sent an event since.
    is_reopened: bool,
    /// Whether a route is sought because the head is silent; its attempt goes on until another one is opened.
    is_head_silent: bool,
    /// Whether the head of the current route has sent an event.
    has_responded: bool,
    /// Whether an earlier attempt may have run.
    has_run: bool,
    engine_crashes: u32,
    /// The number of processes lost since the last token.
    lost_processes: u32,
    refusal: Option<(RefusalReason, u64)>,
}

impl StreamMachine {
    /// Creates the machine of a request. The route of `order` may be empty; `handle_route` sets it.
    pub fn start(
        limits: StreamLimits,
        order: StreamOrder,
        deadline: MilliTime,
        now: MilliTime,
    ) -> (StreamMachine, Vec<StreamAction>) {
        let machine = StreamMachine {
            limits,
            order,
            deadline,
            phase: StreamPhase::Routing { retry_at: None },
            attempts: 0,
            refusals: 0,
            excluded: Vec::new(),
            end: None,
            idle_since: now,
            is_reopened: false,
            is_head_silent: false,
            has_responded: false,
            has_run: false,
            engine_crashes: 0,
            lost_processes: 0,
            refusal: None,
        };
        let choose = StreamAction::ChooseRoute {
            current: None,
            replace: None,
        };
        (machine, vec![choose])
    }

    /// Returns the endpoints that the next route must not use, sorted.
    pub fn excluded(&self) -> &[EndpointName] {
        &self.excluded
    }

    /// Returns the order of the newest attempt.
    pub fn order(&self) -> &StreamOrder {
        &self.order
    }

    /// Returns whether the request has ended with a complete answer or a failure.
    pub fn is_done(&self) -> bool {
        self.phase == StreamPhase::Done
    }

    /// Sets the model version to request on the next route.
    pub fn set_version(&mut self, version: u32) {
        self.order.version = version;
    }

    /// Handles the result of a route search, `None` if no route was found.
    pub fn handle_route(&mut self, route: Option<ChainRoute>, now: MilliTime) -> Vec<StreamAction> {
        let mut actions = Vec::new();
        if !matches!(self.phase, StreamPhase::Routing { .. }) {
            return actions;
        }
        let Some(route) = route else {
            self.wait_for_route(now, &mut actions);
            return actions;
        };
        let head = |route: &ChainRoute| route.stages.first().map(|head| head.endpoint.clone());
        self.has_responded &= head(&self.order.route) == head(&route);
        self.order.route = route;
        self.is_reopened = false;
        self.open(false, now, &mut actions);
        actions
    }

    /// Handles an event from the head.
    pub fn handle_event(&mut self, event: StreamEvent, now: MilliTime) -> Vec<StreamAction> {
        let mut actions = Vec::new();
        if event.attempt() != self.order.attempt || !self.accepts(&event) {
            return actions;
        }
        self.resume_attempt();
        self.idle_since = now;
        self.is_reopened = false;
        self.has_responded = true;
        match event {
            StreamEvent::Token { position, text, .. } => {
                self.deliver_token(position, text, &mut actions);
            }
            StreamEvent::End {
                position, reason, ..
            } => {
                self.end = Some((position, reason));
                self.finish_if_complete(&mut actions);
            }
            StreamEvent::Refused {
                reason,
                retry_after_ms,
                ..
            } => {
                self.refusal = Some((reason, retry_after_ms));
                self.refusals += 1;
                if self.refusals < self.limits.max_attempts {
                    self.replace_stage(0, FaultKind::Refused, now, &mut actions);
                } else {
                    // From here on, endpoints are asked at an interval.
                    self.phase = StreamPhase::Routing { retry_at: None };
                    self.wait_for_route(now, &mut actions);
                }
            }
            StreamEvent::StageFault { stage, kind, .. } => {
                self.has_run = true;
                self.replace_stage(stage, kind, now, &mut actions);
            }
            StreamEvent::Progress { .. } => {}
        }
        actions
    }

    /// Handles the loss of the connection after the stream of `attempt` was opened.
    pub fn handle_stream_loss(&mut self, attempt: u32, now: MilliTime) -> Vec<StreamAction> {
        let mut actions = Vec::new();
        if self.is_current(attempt) {
            self.has_run = true;
            self.reopen(FaultKind::Unreachable, now, &mut actions);
        }
        actions
    }

    /// Handles the failure to open the stream of `attempt`; with `was_sent` the order may have
    /// reached the head.
    pub fn handle_open_failure(
        &mut self,
        attempt: u32,
        was_sent: bool,
        now: MilliTime,
    ) -> Vec<StreamAction> {
        let mut actions = Vec::new();
        if self.is_current(attempt) {
            self.has_run |= was_sent;
            if was_sent {
                self.reopen(FaultKind::Unreachable, now, &mut actions);
            } else {
                self.replace_stage(0, FaultKind::Unreachable, now, &mut actions);
            }
        }
        actions
    }

    /// Handles the report whether the request may be retried after a recorded crash.
    pub fn handle_crash_count(&mut self, may_retry: bool, now: MilliTime) -> Vec<StreamAction> {
        let mut actions = Vec::new();
        let StreamPhase::CountingCrash { stage } = self.phase else {
            return actions;
        };
        if may_retry {
            self.reroute(Some(stage), now, &mut actions);
        } else {
            self.fail(RequestOutcome::Failed, RefusalReason::Crasher, &mut actions);
        }
        actions
    }

    /// Returns the time of the next [`tick`](StreamMachine::tick), unless an event comes first.
    pub fn next_tick(&self) -> MilliTime {
        let next = match self.phase {
            StreamPhase::Streaming => self.idle_since.plus(self.silence_limit_ms()),
            StreamPhase::Routing { retry_at: Some(at) } => at,
            _ => self.deadline,
        };
        next.min(self.deadline)
    }

    /// Handles expired timeouts; called at the time of [`next_tick`](StreamMachine::next_tick).
    pub fn tick(&mut self, now: MilliTime) -> Vec<StreamAction> {
        let mut actions = Vec::new();
        if self.phase == StreamPhase::Done {
            return actions;
        }
        if now >= self.deadline {
            self.give_up(RefusalReason::Deadline, &mut actions);
            return actions;
        }
        match self.phase {
            StreamPhase::Streaming if now.since(self.idle_since) >= self.silence_limit_ms() => {
                self.has_run = true;
                self.reopen(FaultKind::Silent, now, &mut actions);
                self.is_head_silent = matches!(self.phase, StreamPhase::Routing { .. });
            }
            StreamPhase::Routing { retry_at: Some(at) } if now >= at => {
                // No other endpoint is available, and an excluded one may have recovered.
                self.excluded.clear();
                self.reroute(None, now, &mut actions);
            }
            _ => {}
        }
        actions
    }

    fn silence_limit_ms(&self) -> u64 {
        if self.is_reopened {
            self.limits.reopen_ms
        } else {
            self.limits.silence_ms
        }
    }

    fn is_current(&self, attempt: u32) -> bool {
        self.phase == StreamPhase::Streaming && attempt == self.order.attempt
    }

    fn deliver_token(&mut self, position: u32, text: String, actions: &mut Vec<StreamAction>) {
        let is_beyond = self.end.is_some_and(|(length, _)| position >= length);
        if position as usize != self.order.sent.len() || is_beyond {
            return;
        }
        self.has_run = true;
        self.lost_processes = 0;
        self.order.sent.push(text.clone());
        actions.push(StreamAction::Deliver { text });
        self.finish_if_complete(actions);
    }

    fn finish_if_complete(&mut self, actions: &mut Vec<StreamAction>) {
        let Some((tokens, reason)) = self.end else {
            return;
        };
        if tokens as usize == self.order.sent.len() {
            self.phase = StreamPhase::Done;
            actions.push(StreamAction::Finish { reason, tokens });
        }
    }

    fn open(&mut self, is_new_connection: bool, now: MilliTime, actions: &mut Vec<StreamAction>) {
        if self.is_last_attempt() {
            self.give_up(RefusalReason::EndpointLost, actions);
            return;
        }
        if self.attempts > 0 {
            self.order.attempt += 1;
        }
        self.attempts += 1;
        self.is_head_silent = false;
        self.order.deadline_in_ms = self.deadline.since(now);
        self.order.suspect |= self.engine_crashes + self.lost_processes > 0;
        self.end = None;
        self.idle_since = now;
        self.phase = StreamPhase::Streaming;
        actions.push(StreamAction::Open {
            order: Box::new(self.order.clone()),
            is_new_connection,
        });
    }

    /// Ends the request with the outcome `Unknown` if it may have run, else `NotRun`.
    fn give_up(&mut self, reason: RefusalReason, actions: &mut Vec<StreamAction>) {
        let may_run_now = self.phase == StreamPhase::Streaming;
        if self.has_run || may_run_now {
            self.fail(RequestOutcome::Unknown, reason, actions);
            return;
        }
        let reason = match reason {
            RefusalReason::EndpointLost => RefusalReason::NoEndpoint,
            _ => reason,
        };
        let reason = self.refusal.map_or(reason, |(refusal, _)| refusal);
        self.fail(RequestOutcome::NotRun, reason, actions);
    }

    fn fail(
        &mut self,
        outcome: RequestOutcome,
        reason: RefusalReason,
        actions: &mut Vec<StreamAction>,
    ) {
        self.phase = StreamPhase::Done;
        let retry_after_ms = self.refusal.map_or(0, |(_, millis)| millis);
        actions.push(StreamAction::Fail(StreamFailure {
            outcome,
            reason,
            retry_after_ms,
        }));
    }
}
