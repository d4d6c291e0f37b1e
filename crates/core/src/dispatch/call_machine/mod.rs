mod follow;
mod reply;

use crate::dispatch::CallAction;
use crate::dispatch::CallEvent;
use crate::dispatch::CallRow;
use crate::dispatch::CommitResult;
use crate::dispatch::RowChange;
use crate::dispatch::RowKey;
use crate::dispatch::VersionedRow;
use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;
use crate::time::MilliTime;

/// The maximum number of endpoints to which one request is forwarded.
const MAX_FORWARDS: u32 = 4;

/// The number of store failures after which a request stops waiting for the store.
const MAX_STORE_FAILURES: u32 = 3;

/// The wait after a failure of the store or of a query, in milliseconds.
const FAILURE_WAIT_MS: u64 = 200;

/// The time after which a caller may retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The entry's state machine for one request of a call that is not idempotent.
///
/// The machine refuses a call as `not-run` only when no order of this request can run any more. If
/// the store is available, it first makes the attempt void, so that earlier requests with the same
/// key, for example from an entry that was lost, can't run after the caller received the refusal.
#[derive(Debug)]
pub struct CallMachine {
    key: RowKey,
    fingerprint: String,
    token: String,
    deadline: MilliTime,
    has_status_path: bool,
    step: CallStep,
    /// Whether this request is still searching for the first attempt that is not void. Once it is
    /// found, an attempt that was made void for a refused request ends this request too.
    is_scanning: bool,
    /// Whether no order of this request can run, and no run with this key was found.
    is_known_unrun: bool,
    /// Whether the endpoint's reply to the order of this attempt was lost, so that the attempt has
    /// to be made void.
    is_reply_lost: bool,
    /// The reason and retry time of the refusal to send if no other run with this key is found.
    refusal: Option<(RefusalReason, u64)>,
    forwards: u32,
    store_failures: u32,
    queries: u32,
    /// The reason and retry time of the last endpoint that refused the order.
    last_refusal: Option<(RefusalReason, u64)>,
    /// The dispatched row that this request follows.
    followed: Option<VersionedRow>,
    /// Whether the runner of the followed row has ended or can't be reached.
    is_runner_lost: bool,
    /// The status and content type of the answer whose body is being read.
    answer: Option<(u16, String)>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallStep {
    Read,
    Forward,
    Void,
    QueryRunner,
    QueryService,
    ReadBody,
    Wait,
    Finished,
}

impl CallMachine {
    /// Creates the machine of one request and returns its first actions.
    ///
    /// `key` is the row key of attempt 0. `token` must differ from every other token ever used. With
    /// `has_status_path` the service can be queried for the outcome of a key.
    pub fn start(
        key: RowKey,
        fingerprint: String,
        token: String,
        deadline: MilliTime,
        has_status_path: bool,
    ) -> (CallMachine, Vec<CallAction>) {
        let mut machine = CallMachine {
            key,
            fingerprint,
            token,
            deadline,
            has_status_path,
            step: CallStep::Read,
            is_scanning: true,
            is_known_unrun: true,
            is_reply_lost: false,
            refusal: None,
            forwards: 0,
            store_failures: 0,
            queries: 0,
            last_refusal: None,
            followed: None,
            is_runner_lost: false,
            answer: None,
        };
        let actions = machine.read();
        (machine, actions)
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: CallEvent, now: MilliTime) -> Vec<CallAction> {
        match (self.step, event) {
            (CallStep::Read, CallEvent::RowRead(found)) => self.on_row(found, now),
            (CallStep::Read, CallEvent::ReadFailed) => self.on_store_failure(now),
            (CallStep::Forward, CallEvent::Replied(reply)) => self.on_reply(reply, now),
            (CallStep::Forward, CallEvent::ForwardUnsent) => self.forward(now),
            (CallStep::Forward, CallEvent::ReplyLost) => {
                self.is_known_unrun = false;
                self.is_reply_lost = true;
                self.void(now)
            }
            (
                CallStep::Forward,
                CallEvent::ForwardDenied {
                    reason,
                    retry_after_ms,
                },
            ) => self.refuse_after_void(reason, retry_after_ms, now),
            (CallStep::Void, CallEvent::CommitEnded(result)) => self.on_void_ended(result, now),
            (CallStep::QueryRunner, CallEvent::RunnerQueried(state)) => {
                self.on_runner_queried(state, now)
            }
            (CallStep::QueryService, CallEvent::ServiceQueried(result)) => {
                self.on_service_queried(result, now)
            }
            (CallStep::ReadBody, CallEvent::BodyRead(body)) => self.on_body(body),
            (CallStep::Wait, CallEvent::WaitElapsed) => self.on_wait_elapsed(),
            _ => Vec::new(),
        }
    }

    fn on_row(&mut self, found: Option<VersionedRow>, now: MilliTime) -> Vec<CallAction> {
        let Some(found) = found else {
            return self.on_absent(now);
        };
        match &found.row {
            CallRow::Void {
                token, is_refusal, ..
            } => {
                let (is_own, is_refusal) = (*token == self.token, *is_refusal);
                self.on_void_row(is_own, is_refusal, now)
            }
            CallRow::Dispatched { fingerprint, .. } | CallRow::Done { fingerprint, .. }
                if *fingerprint != self.fingerprint =>
            {
                self.refuse(
                    RequestOutcome::NotRun,
                    RefusalReason::KeyReused,
                    RETRY_AFTER_MS,
                )
            }
            CallRow::Dispatched { .. } => self.on_dispatched(found, now),
            CallRow::Done {
                status,
                content_type,
                body,
                in_object,
                ..
            } => {
                self.answer = Some((*status, content_type.clone()));
                match in_object {
                    true => self.transition(CallStep::ReadBody, CallAction::ReadBody(body.clone())),
                    false => self.on_body(Some(body.clone())),
                }
            }
        }
    }

    fn on_absent(&mut self, now: MilliTime) -> Vec<CallAction> {
        if self.is_reply_lost || self.refusal.is_some() {
            return self.void(now);
        }
        self.is_known_unrun = true;
        self.forward(now)
    }

    fn on_void_row(&mut self, is_own: bool, is_refusal: bool, now: MilliTime) -> Vec<CallAction> {
        match (is_refusal, is_own, self.refusal) {
            (true, true, Some((reason, retry_after_ms))) => {
                self.refuse(RequestOutcome::NotRun, reason, retry_after_ms)
            }
            // The writer refuses its request as not run, so this request must not run the call
            // after that.
            (true, _, _) if !self.is_scanning => {
                let reason = RefusalReason::InProgress;
                self.refuse(RequestOutcome::NotRun, reason, RETRY_AFTER_MS)
            }
            _ => {
                self.advance_attempt();
                self.continue_attempt(is_own, now)
            }
        }
    }

    /// Continues with the next attempt and reads its row first, unless this request wrote the void
    /// row before it: other requests have then rarely reached the next attempt, and a conflict on
    /// its row shows if one has.
    fn continue_attempt(&mut self, is_own: bool, now: MilliTime) -> Vec<CallAction> {
        match (is_own, self.refusal) {
            (true, Some(_)) => self.void(now),
            (true, None) => self.forward(now),
            (false, _) => self.read(),
        }
    }

    fn advance_attempt(&mut self) {
        self.key.attempt += 1;
        self.is_known_unrun = true;
        self.is_reply_lost = false;
        self.followed = None;
    }

    fn on_body(&mut self, body: Option<String>) -> Vec<CallAction> {
        let (Some(body), Some((status, content_type))) = (body, self.answer.take()) else {
            // The call ran, but its recorded answer can't be read at present.
            self.is_known_unrun = false;
            return self.give_up(RefusalReason::StoreDown);
        };
        let replayed = true;
        let answer = CallAction::Answer {
            status,
            content_type,
            body,
            replayed,
        };
        self.transition(CallStep::Finished, answer)
    }

    fn on_void_ended(&mut self, result: CommitResult, now: MilliTime) -> Vec<CallAction> {
        match result {
            CommitResult::Committed => self.on_void_row(true, self.refusal.is_some(), now),
            CommitResult::Conflict => self.read(),
            CommitResult::Unsent => self.on_store_failure(now),
            CommitResult::Lost => {
                self.store_failures += 1;
                match self.store_failures >= MAX_STORE_FAILURES {
                    true => self.give_up(RefusalReason::StoreDown),
                    false => self.read(),
                }
            }
        }
    }

    fn on_store_failure(&mut self, now: MilliTime) -> Vec<CallAction> {
        self.store_failures += 1;
        let is_last = self.store_failures >= MAX_STORE_FAILURES || now >= self.deadline;
        match self.is_known_unrun || is_last {
            true => self.give_up(RefusalReason::StoreDown),
            false => self.wait(FAILURE_WAIT_MS, now),
        }
    }

    fn on_wait_elapsed(&mut self) -> Vec<CallAction> {
        match self.followed {
            Some(_) => self.query_runner(),
            None => self.read(),
        }
    }

    fn forward(&mut self, now: MilliTime) -> Vec<CallAction> {
        if now >= self.deadline {
            return self.refuse_after_void(RefusalReason::Deadline, RETRY_AFTER_MS, now);
        }
        if self.forwards >= MAX_FORWARDS {
            return self.refuse_after_void(RefusalReason::NoEndpoint, RETRY_AFTER_MS, now);
        }
        self.forwards += 1;
        self.is_scanning = false;
        self.transition(CallStep::Forward, CallAction::Forward(self.key.clone()))
    }

    /// Refuses the call once its attempt is void, unless another run with this key is found.
    fn refuse_after_void(
        &mut self,
        reason: RefusalReason,
        retry_after_ms: u64,
        now: MilliTime,
    ) -> Vec<CallAction> {
        let last = self
            .last_refusal
            .filter(|_| reason == RefusalReason::NoEndpoint);
        self.refusal = Some(last.unwrap_or((reason, retry_after_ms)));
        self.void(now)
    }

    fn void(&mut self, now: MilliTime) -> Vec<CallAction> {
        self.is_scanning = false;
        let change = RowChange {
            key: self.key.clone(),
            version: None,
            previous_version: None,
            row: CallRow::Void {
                token: self.token.clone(),
                is_refusal: self.refusal.is_some(),
                written_ms: now.as_millis(),
            },
        };
        self.transition(CallStep::Void, CallAction::Commit(change))
    }

    fn read(&mut self) -> Vec<CallAction> {
        self.transition(CallStep::Read, CallAction::ReadRow(self.key.clone()))
    }

    fn wait(&mut self, wait_ms: u64, now: MilliTime) -> Vec<CallAction> {
        let until = now.plus(wait_ms);
        self.transition(CallStep::Wait, CallAction::Wait { until })
    }

    /// Refuses the call without proof from the store that no other request runs the key.
    fn give_up(&mut self, reason: RefusalReason) -> Vec<CallAction> {
        let outcome = match self.is_known_unrun {
            true => RequestOutcome::NotRun,
            false => RequestOutcome::Unknown,
        };
        self.refuse(outcome, reason, RETRY_AFTER_MS)
    }

    fn refuse(
        &mut self,
        outcome: RequestOutcome,
        reason: RefusalReason,
        retry_after_ms: u64,
    ) -> Vec<CallAction> {
        let refusal = CallAction::Refuse {
            outcome,
            reason,
            retry_after_ms,
        };
        self.transition(CallStep::Finished, refusal)
    }

    fn transition(&mut self, step: CallStep, action: CallAction) -> Vec<CallAction> {
        self.step = step;
        vec![action]
    }
}
