//! Steps shared by the event handlers of a [`StageMachine`].

use crate::ident::EndpointName;
use crate::time::MilliTime;

use super::FaultKind;
use super::StageAction;
use super::StageMachine;
use super::StageOutput;
use super::StepInput;
use super::StepPayload;
use super::StepReply;
use super::StopReason;
use super::StreamEvent;

/// The assumed length of a prompt token in bytes, used only for deadlines.
const PROMPT_TOKEN_BYTES: usize = 4;

impl StageMachine {
    /// Resets the state of the attempt, then emits, forwards and computes what is available.
    pub(super) fn start_attempt(&mut self, now: MilliTime, actions: &mut Vec<StageAction>) {
        self.in_flight = None;
        self.retry_at = None;
        self.is_route_sent = false;
        self.has_recomputed = false;
        self.last_progress_at = now;
        // The first probe of an attempt depends only on the time without progress.
        self.last_probe_at = MilliTime::from_millis(0);
        let sent = self.order.sent.len();
        // The last stage returns the tokens that the head lacks. The others push their last output
        // again, to which the next stage replies with the position that it needs.
        self.cursor = if self.is_last() {
            sent as u32
        } else {
            self.outputs.len().saturating_sub(1) as u32
        };
        if self.is_head() {
            self.is_finished = false;
            if self.end.is_none() && sent as u32 >= self.order.max_tokens {
                self.end = Some((sent as u32, StopReason::Length));
            }
            self.emit_tokens(sent, actions);
        }
        self.forward_outputs(actions);
        self.run_next(now, actions);
    }

    /// Appends inputs, skips known ones and reports a gap before the first missing position.
    pub(super) fn append_inputs(&mut self, inputs: Vec<StepInput>) -> StepReply {
        let mut reply = StepReply::Gap {
            expected: self.inputs.len() as u32,
        };
        for input in inputs {
            let expected = self.inputs.len() as u32;
            if input.position > expected {
                return StepReply::Gap { expected };
            }
            reply = StepReply::Accepted;
            if input.position < expected {
                continue;
            }
            if input.position > 0 {
                self.tokens.push(input.token);
            }
            self.inputs.push(input.payload);
        }
        reply
    }

    /// Starts the next step if its input is available and the engine is idle.
    pub(super) fn run_next(&mut self, now: MilliTime, actions: &mut Vec<StageAction>) {
        if self.is_finished || self.session.running.is_some() || self.session.is_generating {
            return;
        }
        if self.limits.is_whole_model {
            self.start_generating(now, actions);
            return;
        }
        let position = self.session.next_position;
        let Some(payload) = self.step_input(position) else {
            return;
        };
        let Some(route_stage) = self.order.route.stages.get(self.stage) else {
            return;
        };
        self.session.running = Some((position, now));
        actions.push(StageAction::RunStep {
            session: self.session.name.clone(),
            position,
            range: route_stage.range,
            is_last: self.is_last(),
            payload,
        });
    }

    fn start_generating(&mut self, now: MilliTime, actions: &mut Vec<StageAction>) {
        let mut order = self.order.clone();
        order.sent = self.tokens.clone();
        self.session.is_generating = true;
        self.session.running = Some((self.tokens.len() as u32, now));
        actions.push(StageAction::Generate {
            session: self.session.name.clone(),
            order: Box::new(order),
        });
    }

    /// Returns the input of a position if it is known and needed for the answer.
    fn step_input(&self, position: u32) -> Option<StepPayload> {
        let index = position as usize;
        if !self.is_head() {
            return self.inputs.get(index).cloned();
        }
        match index.checked_sub(1) {
            _ if position >= self.answer_length() => None,
            None => Some(StepPayload::Text(self.order.prompt.clone())),
            Some(previous) => self.tokens.get(previous).cloned().map(StepPayload::Text),
        }
    }

    /// Returns the number of tokens of the complete answer, or the maximum while it is unknown.
    fn answer_length(&self) -> u32 {
        self.end.map_or(self.order.max_tokens, |(length, _)| length)
    }

    /// Saves the output of a new position; a head that is also the last stage appends the token to
    /// the answer.
    pub(super) fn save_output(
        &mut self,
        position: u32,
        output: StageOutput,
        now: MilliTime,
        actions: &mut Vec<StageAction>,
    ) {
        if !self.is_last() {
            self.outputs.push(output.payload);
            return;
        }
        let sampled = match output.payload {
            StepPayload::Text(text) | StepPayload::Activation(text) => text,
        };
        if self.is_head() {
            self.outputs.push(StepPayload::Text(sampled.clone()));
            self.append_token(position, sampled, output.end, now, actions);
            return;
        }
        self.outputs.push(StepPayload::Text(sampled));
        self.end = output.end.map(|reason| (position + 1, reason));
    }

    /// Appends the next token of the answer at the head and sends it to the entry.
    pub(super) fn append_token(
        &mut self,
        position: u32,
        text: String,
        end: Option<StopReason>,
        now: MilliTime,
        actions: &mut Vec<StageAction>,
    ) {
        if position as usize != self.tokens.len() || self.is_finished {
            return;
        }
        self.tokens.push(text);
        self.last_progress_at = now;
        if let Some(reason) = end {
            self.end = Some((position + 1, reason));
        } else if position + 1 >= self.order.max_tokens {
            self.end = Some((position + 1, StopReason::Length));
        }
        self.emit_tokens(position as usize, actions);
    }

    /// Sends the tokens from `first` on to the entry, and the end if it is known.
    ///
    /// The end is sent before the last token. An entry that has received the last token then knows
    /// that the answer is complete, even if the head fails immediately after.
    fn emit_tokens(&mut self, first: usize, actions: &mut Vec<StageAction>) {
        let attempt = self.order.attempt;
        if let Some((position, reason)) = self.end {
            actions.push(StageAction::Emit(StreamEvent::End {
                attempt,
                position,
                reason,
            }));
        }
        for (position, text) in self.tokens.iter().enumerate().skip(first) {
            actions.push(StageAction::Emit(StreamEvent::Token {
                attempt,
                position: position as u32,
                text: text.clone(),
            }));
        }
        if self.end.is_some() {
            self.finish(actions);
        }
    }

    /// Frees the caches of all stages; the tokens stay in case the entry reopens the stream.
    fn finish(&mut self, actions: &mut Vec<StageAction>) {
        self.is_finished = true;
        self.session.is_generating = false;
        self.session.running = None;
        self.outputs.clear();
        let session = self.session.name.clone();
        actions.push(StageAction::CancelSession { session });
        self.cancel_other_stages(actions);
    }

    /// Reports a failed stage, to the entry if this is the head, else to the head.
    pub(super) fn report_fault(
        &self,
        stage: usize,
        kind: FaultKind,
        actions: &mut Vec<StageAction>,
    ) {
        let attempt = self.order.attempt;
        actions.push(if self.is_head() {
            StageAction::Emit(StreamEvent::StageFault {
                attempt,
                stage,
                kind,
            })
        } else {
            StageAction::ReportFault {
                address: self.order.route.stages[0].address.clone(),
                attempt,
                stage,
                kind,
            }
        });
    }

    /// Frees the engine session and has the process remove the request.
    pub(super) fn forget(&mut self, actions: &mut Vec<StageAction>) {
        let session = self.session.name.clone();
        self.is_finished = true;
        actions.push(StageAction::CancelSession { session });
        actions.push(StageAction::Forget);
    }

    pub(super) fn cancel_other_stages(&self, actions: &mut Vec<StageAction>) {
        let others = self.other_stages();
        if !others.is_empty() {
            let addresses = others.into_iter().map(|(_, address)| address).collect();
            actions.push(StageAction::CancelStages { addresses });
        }
    }

    /// Returns the index and address of every other stage of the route.
    pub(super) fn other_stages(&self) -> Vec<(usize, String)> {
        let stages = self.order.route.stages.iter().enumerate();
        stages
            .filter(|(index, _)| *index != self.stage)
            .map(|(index, route_stage)| (index, route_stage.address.clone()))
            .collect()
    }

    /// Returns the deadline of a step in milliseconds, extended by 1 ms for each prompt token that
    /// it may have to compute.
    pub(super) fn step_deadline_ms(&self, position: u32) -> u64 {
        let prompt = match position {
            0 => self.order.prompt.len() / PROMPT_TOKEN_BYTES,
            _ if self.limits.is_whole_model => self.order.prompt.len() / PROMPT_TOKEN_BYTES,
            _ => 0,
        };
        self.limits.step_deadline_ms + prompt as u64
    }

    pub(super) fn next_endpoint(&self) -> Option<&EndpointName> {
        let next = self.order.route.stages.get(self.stage + 1)?;
        Some(&next.endpoint)
    }

    pub(super) fn is_last(&self) -> bool {
        self.stage == self.order.route.last_stage_index()
    }
}
