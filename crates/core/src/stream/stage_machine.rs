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

/// One request at one stage of a chain.
///
/// The stage runs the next expected position of the newest attempt only, saves its outputs and
/// hands them on to the next stage, or as tokens to the head. Each method takes an event and
/// returns the actions to carry out; nothing else performs I/O.
///
/// A stage keeps its cache over attempts unless its layers change or it has computed with tokens
/// that the head of the new attempt does not know.
#[derive(Clone, Debug)]
pub struct StageMachine {
    pub(super) limits: StageLimits,
    pub(super) order: StreamOrder,
    pub(super) stage: usize,
    pub(super) session: StageSession,
    /// The tokens that the inputs after the first one were computed with; at the head, every known
    /// token.
    pub(super) tokens: Vec<String>,
    /// The inputs received from the preceding stage; unused at the head.
    pub(super) inputs: Vec<StepPayload>,
    /// The outputs by position; the tokens at the last stage.
    pub(super) outputs: Vec<StepPayload>,
    /// The number of tokens of the whole answer, once the model ended it.
    pub(super) end: Option<(u32, StopReason)>,
    /// The next output to hand on.
    pub(super) cursor: u32,
    /// The output after the last one of the message in flight.
    pub(super) in_flight: Option<u32>,
    /// The time to try again after a failed push or return.
    pub(super) retry_at: Option<MilliTime>,
    pub(super) is_route_sent: bool,
    /// The newest next stage that has taken the request.
    pub(super) taken_by: Option<EndpointName>,
    pub(super) is_finished: bool,
    /// Whether the cache was computed again in this attempt.
    pub(super) has_recomputed: bool,
    pub(super) progress_at: MilliTime,
    pub(super) check_at: MilliTime,
}

impl StageMachine {
    /// Creates the machine of `stage` for an order and starts what the stage can start.
    ///
    /// # Errors
    ///
    /// Returns `BadRequest` if the route has no such stage or another endpoint takes it.
    pub fn open(
        own: &EndpointName,
        limits: StageLimits,
        order: StreamOrder,
        stage: usize,
        now: MilliTime,
    ) -> Result<(StageMachine, Vec<StageAction>), RefusalReason> {
        if order.route.stages.get(stage).map(|entry| &entry.endpoint) != Some(own) {
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
            taken_by: None,
            is_finished: false,
            has_recomputed: false,
            progress_at: now,
            check_at: now,
            order,
        };
        let mut actions = Vec::new();
        machine.start_attempt(now, &mut actions);
        Ok((machine, actions))
    }

    /// Returns the newest attempt that the stage has seen.
    pub fn attempt(&self) -> u32 {
        self.order.attempt
    }

    /// Returns the order of the newest attempt.
    pub fn order(&self) -> &StreamOrder {
        &self.order
    }

    /// Returns the engine session of the stage.
    pub fn session(&self) -> &str {
        &self.session.name
    }

    /// Returns whether this stage is the head.
    pub fn is_head(&self) -> bool {
        self.stage == 0
    }

    /// Returns whether the head has sent the whole answer.
    pub fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Takes a newer attempt of the request from the entry (head only).
    pub fn reopen(&mut self, order: StreamOrder, now: MilliTime) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if order.attempt > self.order.attempt && !order.route.stages.is_empty() {
            self.adopt(order, 0, now, &mut actions);
        }
        actions
    }

    /// Takes a message of the preceding stage.
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
                Some(order) => self.adopt(order, message.stage, now, &mut actions),
                None => return (StepReply::Gap { expected }, actions),
            }
        }
        let reply = self.take_inputs(message.inputs);
        self.run_next(now, &mut actions);
        (reply, actions)
    }

    /// Takes the reply of the next stage to a push of `attempt`.
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
        let Some(after) = self.in_flight.take() else {
            return actions;
        };
        if matches!(reply, StepReply::Accepted | StepReply::Gap { .. }) {
            self.taken_by = self.next_endpoint().cloned();
        }
        match reply {
            StepReply::Accepted => {
                self.cursor = after;
                self.progress_at = now;
            }
            StepReply::Gap { expected } => {
                // Replays carry the order, for the next stage may have been restarted.
                self.is_route_sent &= after == self.cursor && expected >= self.cursor;
                self.cursor = expected;
            }
            StepReply::Stale { .. } => {
                self.forget(&mut actions);
                return actions;
            }
            StepReply::Refused { .. } => {
                self.report(self.stage + 1, FaultKind::Refused, &mut actions);
                self.retry_at = Some(now.plus(self.limits.step_deadline_ms));
                return actions;
            }
        }
        self.hand_on(&mut actions);
        actions
    }

    /// Takes the failure of a push of `attempt` over two connections.
    pub fn handle_push_failure(
        &mut self,
        attempt: u32,
        kind: FaultKind,
        now: MilliTime,
    ) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if attempt == self.order.attempt && self.in_flight.take().is_some() {
            // A stage that was gone before it took anything has not run the request.
            let has_run = self.taken_by.as_ref() == self.next_endpoint();
            let kind = match kind {
                FaultKind::Unreachable if !has_run => FaultKind::Refused,
                kind => kind,
            };
            self.taken_by = None;
            self.report(self.stage + 1, kind, &mut actions);
            self.retry_at = Some(now.plus(self.limits.step_deadline_ms));
        }
        actions
    }

    /// Takes the result of returning a token to the head.
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
        if let Some(after) = self.in_flight.take() {
            if is_acknowledged {
                self.cursor = after;
                self.hand_on(&mut actions);
            } else {
                self.retry_at = Some(now.plus(self.limits.step_deadline_ms));
            }
        }
        actions
    }

    /// Takes the output of a step.
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
        self.session.computed = position + 1;
        // A position below the saved outputs was computed again to rebuild the cache only.
        if position as usize == self.outputs.len() {
            self.save_output(position, output, now, &mut actions);
        }
        self.hand_on(&mut actions);
        self.run_next(now, &mut actions);
        actions
    }

    /// Takes a token of a whole-model engine.
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
            self.take_token(position, text, end, now, &mut actions);
        }
        actions
    }

    /// Takes the failure of the engine.
    ///
    /// An engine that refuses a step, for it was restarted or has evicted the cache, computes the
    /// positions again in a new session, once in each attempt.
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
        let has_cache = self.session.computed > 0 && !self.limits.is_whole_model;
        self.session.running = None;
        self.session.is_generating = false;
        if kind == FaultKind::Refused && has_cache && !self.has_recomputed {
            self.has_recomputed = true;
            self.restart_session(self.order.attempt, &mut actions);
            self.run_next(now, &mut actions);
        } else {
            self.report(self.stage, kind, &mut actions);
        }
        actions
    }

    /// Takes a token that the last stage returned (head only).
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
            self.take_token(position, text, end, now, &mut actions);
            self.run_next(now, &mut actions);
        }
        actions
    }

    /// Takes a fault that another stage reported (head only).
    pub fn handle_fault_report(
        &mut self,
        attempt: u32,
        stage: usize,
        kind: FaultKind,
    ) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if self.is_head() && attempt == self.order.attempt && !self.is_finished {
            self.report(stage, kind, &mut actions);
        }
        actions
    }

    /// Cancels the request here and, at the head, at every other stage.
    pub fn cancel(&mut self) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if self.is_head() {
            self.cancel_others(&mut actions);
        }
        self.forget(&mut actions);
        actions
    }

    /// Frees the cache of a request that nobody asks for any more; other stages may still run it.
    pub fn release(&mut self) -> Vec<StageAction> {
        let mut actions = Vec::new();
        self.forget(&mut actions);
        actions
    }

    /// Checks the deadlines; called a few times within each step deadline.
    pub fn tick(&mut self, now: MilliTime) -> Vec<StageAction> {
        let mut actions = Vec::new();
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
            self.hand_on(&mut actions);
        }
        if let Some((position, since)) = self.session.running
            && now.since(since) > self.step_deadline_ms(position)
        {
            self.session.running = Some((position, now));
            self.report(self.stage, FaultKind::Silent, &mut actions);
        }
        self.check_next(now, &mut actions);
        actions
    }
}
