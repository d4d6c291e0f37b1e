use crate::ident::EndpointName;
use crate::outcome::RefusalReason;
use crate::time::MilliTime;

use super::FaultKind;
use super::StageAction;
use super::StageLimits;
use super::StageOutput;
use super::StepMessage;
use super::StepPayload;
use super::StepReply;
use super::StopReason;
use super::StreamOrder;
use super::stage_session::StageSession;

/// The state machine of one request at one stage of a chain.
///
/// The stage runs only the next expected position of the newest attempt. It saves its outputs and
/// forwards them to the next stage; the last stage returns them to the head as tokens. Each method
/// handles an event and returns the actions to carry out, without I/O of its own.
///
/// A new attempt reuses the cache unless the layers of the stage or the model version change, or the
/// cache was computed with tokens that the head of the new attempt does not know.
#[derive(Clone, Debug)]
pub struct StageMachine {
    pub(super) limits: StageLimits,
    pub(super) order: StreamOrder,
    pub(super) stage: usize,
    pub(super) session: StageSession,
    /// The token before each position of `inputs` except the first; at the head, every known token.
    pub(super) tokens: Vec<String>,
    /// The inputs received from the preceding stage; unused at the head.
    pub(super) inputs: Vec<StepPayload>,
    /// The outputs by position; at the last stage, the tokens.
    pub(super) outputs: Vec<StepPayload>,
    /// The number of tokens of the complete answer, once it is known.
    pub(super) end: Option<(u32, StopReason)>,
    /// The position of the next output to forward.
    pub(super) cursor: u32,
    /// The position after the last output of the message in flight.
    pub(super) in_flight: Option<u32>,
    /// The time of the next try after a failed push or return.
    pub(super) retry_at: Option<MilliTime>,
    pub(super) is_route_sent: bool,
    /// The endpoint that, as the next stage, last replied `Accepted` or `Gap` to a push.
    pub(super) accepted_by: Option<EndpointName>,
    pub(super) is_finished: bool,
    /// Whether the cache was recomputed in this attempt.
    pub(super) has_recomputed: bool,
    pub(super) last_progress_at: MilliTime,
    pub(super) last_probe_at: MilliTime,
}

impl StageMachine {
    /// Creates the machine of `stage` for an order and starts the first step if its input is known.
    ///
    /// # Errors
    ///
    /// Returns `BadRequest` if the route has no such stage or assigns it to another endpoint.
    pub fn open(
        endpoint: &EndpointName,
        limits: StageLimits,
        order: StreamOrder,
        stage: usize,
        now: MilliTime,
    ) -> Result<(StageMachine, Vec<StageAction>), RefusalReason> {
        if order
            .route
            .stages
            .get(stage)
            .map(|route_stage| &route_stage.endpoint)
            != Some(endpoint)
        {
            return Err(RefusalReason::BadRequest);
        }
        let mut machine = StageMachine {
            limits,
            session: StageSession::new(order.request.as_str(), order.attempt),
            tokens: if stage == 0 {
                order.sent.clone()
            } else {
                Vec::new()
            },
            stage,
            inputs: Vec::new(),
            outputs: Vec::new(),
            end: None,
            cursor: 0,
            in_flight: None,
            retry_at: None,
            is_route_sent: false,
            accepted_by: None,
            is_finished: false,
            has_recomputed: false,
            last_progress_at: now,
            last_probe_at: now,
            order,
        };
        let mut actions = Vec::new();
        machine.start_attempt(now, &mut actions);
        Ok((machine, actions))
    }

    /// Returns the number of the newest attempt that the stage has received.
    pub fn attempt(&self) -> u32 {
        self.order.attempt
    }

    /// Returns the order of the newest attempt.
    pub fn order(&self) -> &StreamOrder {
        &self.order
    }

    /// Returns the name of the stage's engine session, which changes when the session is restarted.
    pub fn session(&self) -> &str {
        &self.session.name
    }

    /// Returns whether this stage is the head, the first stage of the route.
    pub fn is_head(&self) -> bool {
        self.stage == 0
    }

    /// Returns whether the head has sent the complete answer or the request was removed.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Starts a newer attempt that the entry has opened (head only).
    pub fn reopen(&mut self, order: StreamOrder, now: MilliTime) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if order.attempt > self.order.attempt && !order.route.stages.is_empty() {
            self.adopt_attempt(order, 0, now, &mut actions);
        }
        actions
    }

    /// Handles a push from the preceding stage.
    pub fn handle_push(
        &mut self,
        message: StepMessage,
        now: MilliTime,
    ) -> (StepReply, Vec<StageAction>) {
        let mut actions = Vec::new();
        if message.attempt < self.order.attempt {
            let newest = self.order.attempt;
            return (StepReply::Stale { newest }, actions);
        }
        let expected = self.inputs.len() as u32;
        if message.attempt > self.order.attempt {
            match message.order {
                Some(order) => self.adopt_attempt(order, message.stage, now, &mut actions),
                None => return (StepReply::Gap { expected }, actions),
            }
        }
        let reply = self.append_inputs(message.inputs);
        self.run_next(now, &mut actions);
        (reply, actions)
    }

    /// Handles the reply of the next stage to a push of `attempt`.
    pub fn handle_push_reply(
        &mut self,
        attempt: u32,
        reply: StepReply,
        now: MilliTime,
    ) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if attempt != self.order.attempt {
            return actions;
        }
        let Some(next) = self.in_flight.take() else {
            return actions;
        };
        if matches!(reply, StepReply::Accepted | StepReply::Gap { .. }) {
            self.accepted_by = self.next_endpoint().cloned();
        }
        match reply {
            StepReply::Accepted => {
                self.cursor = next;
                self.last_progress_at = now;
            }
            StepReply::Gap { expected } => {
                // A replay includes the order, because the next stage may have been restarted.
                self.is_route_sent &= next == self.cursor && expected >= self.cursor;
                self.cursor = expected;
            }
            StepReply::Stale { .. } => {
                self.forget(&mut actions);
                return actions;
            }
            StepReply::Refused { .. } => {
                self.report_fault(self.stage + 1, FaultKind::Refused, &mut actions);
                self.retry_at = Some(now.plus(self.limits.step_deadline_ms));
                return actions;
            }
        }
        self.forward_outputs(&mut actions);
        actions
    }

    /// Handles the failure of a push of `attempt` that was tried over two connections.
    pub fn handle_push_failure(
        &mut self,
        attempt: u32,
        kind: FaultKind,
        now: MilliTime,
    ) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if attempt == self.order.attempt && self.in_flight.take().is_some() {
            // A stage that was lost before it accepted a push has not run the request.
            let has_run = self.accepted_by.as_ref() == self.next_endpoint();
            let kind = match kind {
                FaultKind::Unreachable if !has_run => FaultKind::Refused,
                kind => kind,
            };
            self.accepted_by = None;
            self.report_fault(self.stage + 1, kind, &mut actions);
            self.retry_at = Some(now.plus(self.limits.step_deadline_ms));
        }
        actions
    }

    /// Handles the result of returning a token to the head.
    pub fn handle_return_result(
        &mut self,
        attempt: u32,
        is_acknowledged: bool,
        now: MilliTime,
    ) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if attempt != self.order.attempt {
            return actions;
        }
        if let Some(next) = self.in_flight.take() {
            if is_acknowledged {
                self.cursor = next;
                self.forward_outputs(&mut actions);
            } else {
                self.retry_at = Some(now.plus(self.limits.step_deadline_ms));
            }
        }
        actions
    }

    /// Handles the output of a step.
    pub fn handle_step_output(
        &mut self,
        session: &str,
        position: u32,
        output: StageOutput,
        now: MilliTime,
    ) -> Vec<StageAction> {
        let mut actions = Vec::new();
        let is_running = self.session.running.is_some_and(|(at, _)| at == position);
        if session != self.session.name || !is_running {
            return actions;
        }
        self.session.running = None;
        self.session.next_position = position + 1;
        // A position that has a saved output was recomputed only to rebuild the cache.
        if position as usize == self.outputs.len() {
            self.save_output(position, output, now, &mut actions);
        }
        self.forward_outputs(&mut actions);
        self.run_next(now, &mut actions);
        actions
    }

    /// Handles a token of a whole-model engine.
    pub fn handle_generated_token(
        &mut self,
        session: &str,
        position: u32,
        text: String,
        end: Option<StopReason>,
        now: MilliTime,
    ) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if session == self.session.name && self.session.is_generating {
            self.session.running = Some((position + 1, now));
            self.append_token(position, text, end, now, &mut actions);
        }
        actions
    }

    /// Handles a failure of the engine.
    ///
    /// An engine rejects a step if it was restarted or has evicted the cache. The positions are
    /// then recomputed in a new session, at most once in each attempt.
    pub fn handle_engine_failure(
        &mut self,
        session: &str,
        kind: FaultKind,
        now: MilliTime,
    ) -> Vec<StageAction> {
        let mut actions = Vec::new();
        let is_busy = self.session.running.is_some() || self.session.is_generating;
        if session != self.session.name || !is_busy || self.is_finished {
            return actions;
        }
        let has_cache = self.session.next_position > 0 && !self.limits.is_whole_model;
        self.session.running = None;
        self.session.is_generating = false;
        if kind == FaultKind::Refused && has_cache && !self.has_recomputed {
            self.has_recomputed = true;
            self.restart_session(self.order.attempt, &mut actions);
            self.run_next(now, &mut actions);
        } else {
            self.report_fault(self.stage, kind, &mut actions);
        }
        actions
    }

    /// Handles a token that the last stage returned (head only).
    pub fn handle_returned_token(
        &mut self,
        attempt: u32,
        position: u32,
        text: String,
        end: Option<StopReason>,
        now: MilliTime,
    ) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if self.is_head() && attempt == self.order.attempt {
            self.append_token(position, text, end, now, &mut actions);
            self.run_next(now, &mut actions);
        }
        actions
    }

    /// Handles a fault that another stage reported (head only).
    pub fn handle_fault_report(
        &mut self,
        attempt: u32,
        stage: usize,
        kind: FaultKind,
    ) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if self.is_head() && attempt == self.order.attempt && !self.is_finished {
            self.report_fault(stage, kind, &mut actions);
        }
        actions
    }

    /// Cancels the request at this stage and, if it is the head, at every other stage.
    pub fn cancel(&mut self) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if self.is_head() {
            self.cancel_other_stages(&mut actions);
        }
        self.forget(&mut actions);
        actions
    }

    /// Removes the request and frees its cache without cancelling it at other stages.
    ///
    /// Called when a head had no subscription, or another stage no message, for too long.
    pub fn release(&mut self) -> Vec<StageAction> {
        let mut actions = Vec::new();
        self.forget(&mut actions);
        actions
    }

    /// Handles expired timeouts; called a few times within each step deadline.
    pub fn tick(&mut self, now: MilliTime) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            self.forward_outputs(&mut actions);
        }
        if let Some((position, since)) = self.session.running
            && now.since(since) > self.step_deadline_ms(position)
        {
            self.session.running = Some((position, now));
            self.report_fault(self.stage, FaultKind::Silent, &mut actions);
        }
        self.probe_next_stage(now, &mut actions);
        actions
    }
}
