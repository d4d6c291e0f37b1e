//! The endpoint processes of the simulated world.

use std::mem;

use dandelionroad_core::dispatch::CallEvent;
use dandelionroad_core::dispatch::CallReply;
use dandelionroad_core::dispatch::DispatchAction;
use dandelionroad_core::dispatch::DispatchEvent;
use dandelionroad_core::dispatch::ServiceResult;

use super::Run;
use super::World;
use super::samples::answered_result;

impl World {
    pub(super) fn step_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let index = self.draw(self.attempts.len());
        let attempt = &mut self.attempts[index];
        if self.now >= attempt.machine.deadline()
            && !mem::replace(&mut attempt.has_deadline_passed, true)
        {
            return self.deliver_to_attempt(index, DispatchEvent::DeadlinePassed);
        }
        if attempt.pending.is_empty() {
            return;
        }
        let action = attempt.pending.remove(0);
        let (request, sent_at) = (attempt.request, attempt.sent_at);
        let event = match action {
            DispatchAction::ReadRow(key) => match self.read(&key) {
                Some(found) => DispatchEvent::RowRead(found),
                None => DispatchEvent::ReadFailed,
            },
            DispatchAction::Commit(change) => DispatchEvent::CommitEnded(self.commit(change)),
            DispatchAction::CallService => {
                let fault = if self.has_faults { self.draw(6) } else { 5 };
                if matches!(fault, 1 | 2) {
                    self.lost_calls.push(self.attempts[index].key.clone());
                }
                if fault != 0 && fault != 1 {
                    let first_sent_at = self.requests[request].first_sent_at.unwrap_or(sent_at);
                    self.runs.push(Run {
                        request,
                        first_sent_at,
                    });
                }
                DispatchEvent::ServiceEnded(match fault {
                    0 => ServiceResult::Unsent,
                    1 | 2 => ServiceResult::Lost,
                    _ => answered_result(),
                })
            }
            DispatchAction::StoreBody { .. } => DispatchEvent::BodyStored(!self.draw_fault(4)),
            DispatchAction::Wait { until } => {
                if self.now < until {
                    self.attempts[index]
                        .pending
                        .push(DispatchAction::Wait { until });
                    return;
                }
                DispatchEvent::WaitElapsed
            }
            DispatchAction::Reply(reply) => return self.reply(request, sent_at, reply),
            DispatchAction::Finish => {
                self.attempts.remove(index);
                return;
            }
        };
        self.deliver_to_attempt(index, event);
    }

    pub(super) fn reply(&mut self, request: usize, sent_at: usize, reply: CallReply) {
        let event = match self.draw_fault(8) {
            true => CallEvent::ReplyLost,
            false => CallEvent::Replied(reply),
        };
        self.deliver_reply(request, sent_at, event);
    }

    pub(super) fn deliver_to_attempt(&mut self, index: usize, event: DispatchEvent) {
        let attempt = &mut self.attempts[index];
        let actions = attempt.machine.handle(event, self.now);
        attempt.pending.extend(actions);
    }
}
