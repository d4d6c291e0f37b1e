//! Replies of endpoints to forwarded orders.

use crate::dispatch::CallAction;
use crate::dispatch::CallReply;
use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;
use crate::time::MilliTime;

use super::CallMachine;
use super::CallStep;

impl CallMachine {
    pub(super) fn on_reply(&mut self, reply: CallReply, now: MilliTime) -> Vec<CallAction> {
        match reply {
            CallReply::Answered {
                status,
                content_type,
                body,
                replayed,
            } => {
                let answer = CallAction::Answer {
                    status,
                    content_type,
                    body,
                    replayed,
                };
                self.transition(CallStep::Finished, answer)
            }
            CallReply::Voided => {
                self.advance_attempt();
                self.forward(now)
            }
            CallReply::Refused {
                outcome,
                reason,
                retry_after_ms,
            } => self.on_refused(outcome, reason, retry_after_ms, now),
        }
    }

    pub(super) fn on_refused(
        &mut self,
        outcome: RequestOutcome,
        reason: RefusalReason,
        retry_after_ms: u64,
        now: MilliTime,
    ) -> Vec<CallAction> {
        match (outcome, reason) {
            (RequestOutcome::NotRun, RefusalReason::InProgress) => {
                self.is_known_unrun = false;
                self.read()
            }
            // The endpoint will not repeat its insert, and the row can't be made void while the
            // store is down.
            (RequestOutcome::NotRun, RefusalReason::StoreDown) => {
                self.refuse(outcome, reason, retry_after_ms)
            }
            (RequestOutcome::NotRun, RefusalReason::Deadline) => {
                self.refuse_after_void(reason, retry_after_ms, now)
            }
            (RequestOutcome::NotRun, _) => {
                self.last_refusal = Some((reason, retry_after_ms));
                self.forward(now)
            }
            (RequestOutcome::Unknown, RefusalReason::EndpointLost) => {
                self.is_known_unrun = false;
                self.read()
            }
            _ => self.refuse(outcome, reason, retry_after_ms),
        }
    }
}
