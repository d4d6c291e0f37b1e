use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;

use super::CallReply;
use super::RetryAction;
use super::RetryEvent;

/// The maximum number of endpoints to which one request is forwarded.
const MAX_FORWARDS: u32 = 4;

/// The time after which a caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The entry's state machine for one request of an idempotent call.
///
/// After each failure, the call is forwarded to another endpoint.
#[derive(Debug, Default)]
pub struct RetryMachine {
    forwards: u32,
    /// Whether an endpoint may have run the call.
    may_have_run: bool,
    last_refusal: Option<(RefusalReason, u64)>,
}

impl RetryMachine {
    /// Creates the machine of one request; its first action is `Forward`.
    pub fn new() -> RetryMachine {
        RetryMachine {
            forwards: 1,
            ..RetryMachine::default()
        }
    }

    /// Handles an event and returns the next action.
    pub fn handle(&mut self, event: RetryEvent) -> RetryAction {
        match event {
            RetryEvent::Replied(CallReply::Answered {
                status,
                content_type,
                body,
                ..
            }) => RetryAction::Answer {
                status,
                content_type,
                body,
            },
            RetryEvent::Replied(CallReply::Voided) | RetryEvent::ForwardUnsent => self.forward(),
            RetryEvent::Replied(CallReply::Refused {
                outcome,
                reason,
                retry_after_ms,
            }) => {
                self.may_have_run |= outcome != RequestOutcome::NotRun;
                self.last_refusal = Some((reason, retry_after_ms));
                match reason {
                    RefusalReason::Deadline => self.refuse(reason, retry_after_ms),
                    _ => self.forward(),
                }
            }
            RetryEvent::ReplyLost => {
                self.may_have_run = true;
                self.last_refusal = Some((RefusalReason::EndpointLost, RETRY_AFTER_MS));
                self.forward()
            }
            RetryEvent::ForwardDenied {
                reason,
                retry_after_ms,
            } => {
                let (reason, retry_after_ms) =
                    self.last_refusal.unwrap_or((reason, retry_after_ms));
                self.refuse(reason, retry_after_ms)
            }
        }
    }

    fn forward(&mut self) -> RetryAction {
        if self.forwards >= MAX_FORWARDS {
            let fallback = (RefusalReason::NoEndpoint, RETRY_AFTER_MS);
            let (reason, retry_after_ms) = self.last_refusal.unwrap_or(fallback);
            return self.refuse(reason, retry_after_ms);
        }
        self.forwards += 1;
        RetryAction::Forward
    }

    fn refuse(&self, reason: RefusalReason, retry_after_ms: u64) -> RetryAction {
        let outcome = match self.may_have_run {
            true => RequestOutcome::Unknown,
            false => RequestOutcome::NotRun,
        };
        RetryAction::Refuse {
            outcome,
            reason,
            retry_after_ms,
        }
    }
}
