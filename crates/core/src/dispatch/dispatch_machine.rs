use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;
use crate::time::MilliTime;

use super::CallOrder;
use super::CallReply;
use super::CallRow;
use super::CommitResult;
use super::DispatchAction;
use super::DispatchEvent;
use super::RowChange;
use super::RowKey;
use super::RunnerIdent;
use super::ServiceResult;
use super::VersionedRow;

/// The maximum number of times that one attempt inserts its row; the insert is repeated if its
/// answer was lost and a read finds no row.
const MAX_INSERTS: u32 = 3;

/// The first wait before a row is read again, doubled after each failure, in milliseconds.
const INITIAL_WAIT_MS: u64 = 50;

/// The maximum wait before a row is read again, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;

/// The maximum size of a body that is stored in the row itself, in bytes.
const MAX_ROW_BODY_BYTES: usize = 32 * 1024;

/// The time after which a caller may retry when the store or the service is down, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The endpoint's state machine for one attempt of a call that is not idempotent.
///
/// The call is sent to the service at most once, and only after the row is known to contain this
/// machine's own token. After a reply that the call was not run, it never runs: the row is void by
/// then, or is made void as soon as the store answers.
#[derive(Debug)]
pub struct DispatchMachine {
    key: RowKey,
    fingerprint: String,
    runner: RunnerIdent,
    token: String,
    deadline: MilliTime,
    step: DispatchStep,
    /// The version of the previous attempt's void row.
    previous_version: Option<u64>,
    inserts: u32,
    has_lost_insert: bool,
    has_replied: bool,
    wait_ms: u64,
    /// The status, content type and body of the service's answer.
    answer: Option<(u16, String, String)>,
    is_body_stored: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DispatchStep {
    ReadPrevious,
    Insert,
    ReadBack,
    Call,
    VoidWait,
    VoidRead,
    VoidCommit,
    RecordWait,
    RecordRead,
    RecordBody,
    RecordCommit,
    Finished,
}

impl DispatchMachine {
    /// Creates the machine of one attempt and returns its first actions, or `None` if the order has
    /// no row.
    ///
    /// `token` must differ from every other token ever used.
    pub fn start(
        order: &CallOrder,
        runner: RunnerIdent,
        token: String,
        now: MilliTime,
    ) -> Option<(DispatchMachine, Vec<DispatchAction>)> {
        let key = order.row.clone()?;
        let mut machine = DispatchMachine {
            key,
            fingerprint: order.fingerprint.clone(),
            runner,
            token,
            deadline: now.plus(order.deadline_in_ms),
            step: DispatchStep::ReadPrevious,
            previous_version: None,
            inserts: 0,
            has_lost_insert: false,
            has_replied: false,
            wait_ms: INITIAL_WAIT_MS,
            answer: None,
            is_body_stored: false,
        };
        let actions = match machine.key.previous() {
            Some(previous) => vec![DispatchAction::ReadRow(previous)],
            None => machine.insert_row(now),
        };
        Some((machine, actions))
    }

    /// Returns the time at which `DeadlinePassed` has to be raised.
    pub fn deadline(&self) -> MilliTime {
        self.deadline
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: DispatchEvent, now: MilliTime) -> Vec<DispatchAction> {
        match (self.step, event) {
            (_, DispatchEvent::DeadlinePassed) => self.on_deadline(),
            (DispatchStep::ReadPrevious, DispatchEvent::RowRead(found)) => {
                self.on_previous_read(found, now)
            }
            (DispatchStep::ReadPrevious, DispatchEvent::ReadFailed) => {
                self.refuse_and_finish(RefusalReason::StoreDown)
            }
            (DispatchStep::Insert, DispatchEvent::CommitEnded(result)) => {
                self.on_insert_ended(result, now)
            }
            (DispatchStep::ReadBack, DispatchEvent::RowRead(found)) => {
                self.on_read_back(found, now)
            }
            (DispatchStep::ReadBack, DispatchEvent::ReadFailed) => self.void_row_later(now),
            (DispatchStep::Call, DispatchEvent::ServiceEnded(result)) => self.on_service(result),
            (DispatchStep::VoidWait, DispatchEvent::WaitElapsed) => self.void_row(),
            (DispatchStep::VoidRead, DispatchEvent::RowRead(found)) => {
                self.on_void_read(found, now)
            }
            (DispatchStep::VoidRead, DispatchEvent::ReadFailed) => self.void_row_later(now),
            (DispatchStep::VoidCommit, DispatchEvent::CommitEnded(CommitResult::Committed)) => {
                self.reply_and_finish(CallReply::Voided)
            }
            (DispatchStep::VoidCommit, DispatchEvent::CommitEnded(_)) => self.void_row_later(now),
            (DispatchStep::RecordWait, DispatchEvent::WaitElapsed) => self.record_outcome(),
            (DispatchStep::RecordRead, DispatchEvent::RowRead(found)) => {
                self.on_record_read(found, now)
            }
            (DispatchStep::RecordBody, DispatchEvent::BodyStored(true)) => {
                self.is_body_stored = true;
                self.record_outcome()
            }
            (DispatchStep::RecordCommit, DispatchEvent::CommitEnded(CommitResult::Committed)) => {
                self.finish()
            }
            (DispatchStep::RecordRead, DispatchEvent::ReadFailed)
            | (DispatchStep::RecordBody, DispatchEvent::BodyStored(false))
            | (DispatchStep::RecordCommit, DispatchEvent::CommitEnded(_)) => self.record_later(now),
            _ => Vec::new(),
        }
    }

    fn on_previous_read(
        &mut self,
        found: Option<VersionedRow>,
        now: MilliTime,
    ) -> Vec<DispatchAction> {
        match found {
            _ if self.has_replied => self.finish(),
            Some(VersionedRow {
                version,
                row: CallRow::Void { .. },
            }) => {
                self.previous_version = Some(version);
                self.insert_row(now)
            }
            _ => self.refuse_and_finish(RefusalReason::InProgress),
        }
    }

    fn on_insert_ended(&mut self, result: CommitResult, now: MilliTime) -> Vec<DispatchAction> {
        match result {
            CommitResult::Committed => self.call_service(now),
            CommitResult::Lost => {
                self.has_lost_insert = true;
                self.read_back()
            }
            CommitResult::Conflict if self.has_lost_insert => self.read_back(),
            CommitResult::Conflict => self.refuse_and_finish(RefusalReason::InProgress),
            CommitResult::Unsent if self.has_lost_insert => self.void_row_later(now),
            CommitResult::Unsent => self.refuse_and_finish(RefusalReason::StoreDown),
        }
    }

    fn on_read_back(&mut self, found: Option<VersionedRow>, now: MilliTime) -> Vec<DispatchAction> {
        match found {
            Some(found) if self.is_own_dispatch(&found.row) => self.call_service(now),
            Some(_) => self.refuse_and_finish(RefusalReason::InProgress),
            None if self.inserts < MAX_INSERTS && !self.has_replied => self.insert_row(now),
            None => self.void_row(),
        }
    }

    /// Sends the call to the service, unless an earlier reply stated that it was not run.
    fn call_service(&mut self, now: MilliTime) -> Vec<DispatchAction> {
        if self.has_replied || now >= self.deadline {
            return self.void_row();
        }
        self.step = DispatchStep::Call;
        vec![DispatchAction::CallService]
    }

    fn on_service(&mut self, result: ServiceResult) -> Vec<DispatchAction> {
        match result {
            ServiceResult::Answered {
                status,
                content_type,
                body,
            } => {
                self.answer = Some((status, content_type.clone(), body.clone()));
                let replayed = false;
                // The reply does not wait for the record: until that is written, a repeated call
                // finds this one running.
                let reply = CallReply::Answered {
                    status,
                    content_type,
                    body,
                    replayed,
                };
                let mut actions = self.reply(reply);
                actions.extend(self.record_outcome());
                actions
            }
            ServiceResult::Unsent => self.void_row(),
            ServiceResult::Lost => {
                let reply = refused(RequestOutcome::Unknown, RefusalReason::EndpointLost);
                self.reply_and_finish(reply)
            }
        }
    }

    fn on_deadline(&mut self) -> Vec<DispatchAction> {
        match self.step {
            DispatchStep::Finished => Vec::new(),
            DispatchStep::Call => {
                self.reply(refused(RequestOutcome::Unknown, RefusalReason::Deadline))
            }
            _ => self.reply(refused(RequestOutcome::NotRun, RefusalReason::Deadline)),
        }
    }

    /// Starts to make the row void, whether or not its insert took effect.
    fn void_row(&mut self) -> Vec<DispatchAction> {
        self.step = DispatchStep::VoidRead;
        vec![DispatchAction::ReadRow(self.key.clone())]
    }

    fn void_row_later(&mut self, now: MilliTime) -> Vec<DispatchAction> {
        self.step = DispatchStep::VoidWait;
        let reply = refused(RequestOutcome::NotRun, RefusalReason::StoreDown);
        let mut actions = self.reply(reply);
        actions.push(self.wait(now));
        actions
    }

    fn on_void_read(&mut self, found: Option<VersionedRow>, now: MilliTime) -> Vec<DispatchAction> {
        let version = match found {
            None => None,
            Some(found) if self.is_own_dispatch(&found.row) => Some(found.version),
            Some(found) if self.is_own_void(&found.row) => {
                return self.reply_and_finish(CallReply::Voided);
            }
            Some(_) => return self.refuse_and_finish(RefusalReason::InProgress),
        };
        self.step = DispatchStep::VoidCommit;
        vec![DispatchAction::Commit(RowChange {
            key: self.key.clone(),
            version,
            previous_version: None,
            row: CallRow::Void {
                token: self.token.clone(),
                is_refusal: false,
                written_ms: now.as_millis(),
            },
        })]
    }

    fn record_outcome(&mut self) -> Vec<DispatchAction> {
        self.step = DispatchStep::RecordRead;
        vec![DispatchAction::ReadRow(self.key.clone())]
    }

    fn record_later(&mut self, now: MilliTime) -> Vec<DispatchAction> {
        self.step = DispatchStep::RecordWait;
        vec![self.wait(now)]
    }

    fn on_record_read(
        &mut self,
        found: Option<VersionedRow>,
        now: MilliTime,
    ) -> Vec<DispatchAction> {
        let Some((status, content_type, body)) = self.answer.clone() else {
            return self.finish();
        };
        let found = found.filter(|found| self.is_own_dispatch(&found.row));
        // Any other content is the record itself, written by a commit whose answer was lost or by
        // an entry that queried the service.
        let Some(found) = found else {
            return self.finish();
        };
        let in_object = body.len() > MAX_ROW_BODY_BYTES;
        let object_key = format!("{}/{}", self.key.table_key(), self.token);
        if in_object && !self.is_body_stored {
            self.step = DispatchStep::RecordBody;
            return vec![DispatchAction::StoreBody {
                key: object_key,
                body,
            }];
        }
        self.step = DispatchStep::RecordCommit;
        vec![DispatchAction::Commit(RowChange {
            key: self.key.clone(),
            version: Some(found.version),
            previous_version: None,
            row: CallRow::Done {
                token: self.token.clone(),
                fingerprint: self.fingerprint.clone(),
                status,
                content_type,
                body: if in_object { object_key } else { body },
                in_object,
                written_ms: now.as_millis(),
            },
        })]
    }

    fn insert_row(&mut self, now: MilliTime) -> Vec<DispatchAction> {
        self.step = DispatchStep::Insert;
        self.inserts += 1;
        vec![DispatchAction::Commit(RowChange {
            key: self.key.clone(),
            version: None,
            previous_version: self.previous_version,
            row: CallRow::Dispatched {
                token: self.token.clone(),
                runner: self.runner.name.clone(),
                address: self.runner.address.clone(),
                incarnation: self.runner.incarnation,
                fingerprint: self.fingerprint.clone(),
                written_ms: now.as_millis(),
            },
        })]
    }

    fn read_back(&mut self) -> Vec<DispatchAction> {
        self.step = DispatchStep::ReadBack;
        vec![DispatchAction::ReadRow(self.key.clone())]
    }

    fn wait(&mut self, now: MilliTime) -> DispatchAction {
        let until = now.plus(self.wait_ms);
        self.wait_ms = (self.wait_ms * 2).min(MAX_WAIT_MS);
        DispatchAction::Wait { until }
    }

    fn is_own_dispatch(&self, row: &CallRow) -> bool {
        matches!(row, CallRow::Dispatched { token, .. } if *token == self.token)
    }

    fn is_own_void(&self, row: &CallRow) -> bool {
        matches!(row, CallRow::Void { token, .. } if *token == self.token)
    }

    fn reply(&mut self, reply: CallReply) -> Vec<DispatchAction> {
        if self.has_replied {
            return Vec::new();
        }
        self.has_replied = true;
        vec![DispatchAction::Reply(reply)]
    }

    fn reply_and_finish(&mut self, reply: CallReply) -> Vec<DispatchAction> {
        let mut actions = self.reply(reply);
        actions.extend(self.finish());
        actions
    }

    fn refuse_and_finish(&mut self, reason: RefusalReason) -> Vec<DispatchAction> {
        self.reply_and_finish(refused(RequestOutcome::NotRun, reason))
    }

    fn finish(&mut self) -> Vec<DispatchAction> {
        self.step = DispatchStep::Finished;
        vec![DispatchAction::Finish]
    }
}

fn refused(outcome: RequestOutcome, reason: RefusalReason) -> CallReply {
    CallReply::Refused {
        outcome,
        reason,
        retry_after_ms: RETRY_AFTER_MS,
    }
}
