use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;

use super::CallReply;
use super::RepeatAction;
use super::RepeatEvent;

/// The greatest number of endpoints that one request is handed to.
const MAX_HAND_OVERS: u32 = 4;

/// The time after which a caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// One request for an idempotent call, at the entry: it is handed to another endpoint after each
/// failure.
#[derive(Debug, Default)]
pub struct RepeatMachine {
    hand_overs: u32,
    /// Whether an endpoint may have run the call.
    may_have_run: bool,
    last_refusal: Option<(RefusalReason, u64)>,
}

impl RepeatMachine {
    /// Creates the machine of one request; its first action is `HandOver`.
    pub fn new() -> RepeatMachine {
        RepeatMachine {
            hand_overs: 1,
            ..RepeatMachine::default()
        }
    }

    /// Takes an event and returns what to do next.
    pub fn handle(&mut self, event: RepeatEvent) -> RepeatAction {
        match event {
            RepeatEvent::Replied(CallReply::Answered {
                status,
                content_type,
                body,
                ..
            }) => RepeatAction::Answer {
                status,
                content_type,
                body,
            },
            RepeatEvent::Replied(CallReply::Voided) | RepeatEvent::HandOverUnsent => {
                self.hand_over()
            }
            RepeatEvent::Replied(CallReply::Refused {
                outcome,
                reason,
                retry_after_ms,
            }) => {
                self.may_have_run |= outcome != RequestOutcome::NotRun;
                self.last_refusal = Some((reason, retry_after_ms));
                match reason {
                    RefusalReason::Deadline => self.refuse(reason, retry_after_ms),
                    _ => self.hand_over(),
                }
            }
            RepeatEvent::HandOverLost => {
                self.may_have_run = true;
                self.last_refusal = Some((RefusalReason::EndpointLost, RETRY_AFTER_MS));
                self.hand_over()
            }
            RepeatEvent::HandOverDenied {
                reason,
                retry_after_ms,
            } => {
                let (reason, retry_after_ms) =
                    self.last_refusal.unwrap_or((reason, retry_after_ms));
                self.refuse(reason, retry_after_ms)
            }
        }
    }

    fn hand_over(&mut self) -> RepeatAction {
        if self.hand_overs >= MAX_HAND_OVERS {
            let fallback = (RefusalReason::NoEndpoint, RETRY_AFTER_MS);
            let (reason, retry_after_ms) = self.last_refusal.unwrap_or(fallback);
            return self.refuse(reason, retry_after_ms);
        }
        self.hand_overs += 1;
        RepeatAction::HandOver
    }

    fn refuse(&self, reason: RefusalReason, retry_after_ms: u64) -> RepeatAction {
        let outcome = match self.may_have_run {
            true => RequestOutcome::Unknown,
            false => RequestOutcome::NotRun,
        };
        RepeatAction::Refuse {
            outcome,
            reason,
            retry_after_ms,
        }
    }
}
