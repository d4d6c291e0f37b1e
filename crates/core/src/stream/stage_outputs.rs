//! Forwarding of the outputs of a [`StageMachine`] to the next stage or to the head.

use crate::time::MilliTime;

use super::StageAction;
use super::StageMachine;
use super::StepInput;
use super::StepMessage;
use super::StepPayload;
use super::StreamOrder;

/// The maximum total size of the payloads of one push, in bytes; half of the message size limit.
///
/// A single payload that is larger is pushed alone.
const MAX_PUSH_BYTES: usize = 4 * 1024 * 1024;

/// The time without progress after which the next stage is probed is the step deadline divided by
/// this number.
const PROBE_IDLE_DIVISOR: u64 = 5;

impl StageMachine {
    /// Forwards the next outputs unless a message is in flight or a retry is pending.
    pub(super) fn forward_outputs(&mut self, actions: &mut Vec<StageAction>) {
        if self.in_flight.is_some() || self.retry_at.is_some() || self.is_finished {
            return;
        }
        if !self.is_last() {
            self.push_outputs(actions);
        } else if !self.is_head() {
            self.return_token(actions);
        }
    }

    fn push_outputs(&mut self, actions: &mut Vec<StageAction>) {
        let first = self.cursor as usize;
        let must_send_route = self.order.attempt > 0 && !self.is_route_sent;
        if first >= self.outputs.len() && !must_send_route {
            return;
        }
        let mut inputs = Vec::new();
        let mut size = 0;
        for (position, payload) in self.outputs.iter().enumerate().skip(first) {
            let (StepPayload::Text(text) | StepPayload::Activation(text)) = payload;
            size += text.len();
            if size > MAX_PUSH_BYTES && !inputs.is_empty() {
                break;
            }
            let previous = position.checked_sub(1);
            let token = previous.and_then(|index| self.tokens.get(index));
            inputs.push(StepInput {
                position: position as u32,
                token: token.cloned().unwrap_or_default(),
                payload: payload.clone(),
            });
        }
        let order = (!self.is_route_sent).then(|| self.order_for_next_stage());
        self.send_push(order, inputs, actions);
    }

    /// Probes the next stage with a push without inputs if there was no progress for a while.
    ///
    /// The reply names the position that the stage needs next. A stage that does not reply is
    /// reported as failed. One that was restarted and has lost the request gets its inputs again.
    pub(super) fn probe_next_stage(&mut self, now: MilliTime, actions: &mut Vec<StageAction>) {
        let deadline_ms = self.limits.step_deadline_ms;
        let is_idle = self.in_flight.is_none() && self.retry_at.is_none() && self.is_route_sent;
        let is_due = now.since(self.last_progress_at) >= deadline_ms / PROBE_IDLE_DIVISOR
            && now.since(self.last_probe_at) >= deadline_ms;
        if self.is_last() || self.is_finished || !is_idle || !is_due {
            return;
        }
        self.last_probe_at = now;
        let order = Some(self.order_for_next_stage());
        self.send_push(order, Vec::new(), actions);
    }

    fn send_push(
        &mut self,
        order: Option<StreamOrder>,
        inputs: Vec<StepInput>,
        actions: &mut Vec<StageAction>,
    ) {
        let next = self.stage + 1;
        self.is_route_sent = true;
        self.in_flight = Some(self.cursor + inputs.len() as u32);
        actions.push(StageAction::Push {
            address: self.order.route.stages[next].address.clone(),
            message: StepMessage {
                request: self.order.request.clone(),
                attempt: self.order.attempt,
                stage: next,
                order,
                inputs,
            },
        });
    }

    /// Returns the order to forward; the head adds every token that it knows.
    fn order_for_next_stage(&self) -> StreamOrder {
        let mut order = self.order.clone();
        if self.is_head() {
            order.sent = self.tokens.clone();
        }
        order
    }

    fn return_token(&mut self, actions: &mut Vec<StageAction>) {
        let position = self.cursor;
        let Some(StepPayload::Text(text)) = self.outputs.get(position as usize) else {
            return;
        };
        self.in_flight = Some(position + 1);
        let end = self.end.filter(|(length, _)| *length == position + 1);
        actions.push(StageAction::ReturnToken {
            address: self.order.route.stages[0].address.clone(),
            request: self.order.request.clone(),
            attempt: self.order.attempt,
            position,
            text: text.clone(),
            end: end.map(|(_, reason)| reason),
        });
    }
}
