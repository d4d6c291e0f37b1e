//! Waiting for a row that another order has dispatched.

use crate::dispatch::CallAction;
use crate::dispatch::CallRow;
use crate::dispatch::CallState;
use crate::dispatch::RowChange;
use crate::dispatch::ServiceResult;
use crate::dispatch::VersionedRow;
use crate::outcome::RefusalReason;
use crate::time::MilliTime;

use super::CallMachine;
use super::CallStep;
use super::FAILURE_WAIT_MS;

/// The number of times that runner and service are asked before the outcome is given up.
const MAX_QUESTIONS: u32 = 3;

/// The wait between two looks at a running call, in milliseconds.
const POLL_MS: u64 = 50;

/// The greatest body of an outcome found at the service that is recorded, in bytes.
const MAX_RECORD_BYTES: usize = 32 * 1024;

impl CallMachine {
    pub(super) fn on_dispatched(&mut self, found: VersionedRow, now: MilliTime) -> Vec<CallAction> {
        self.is_clean = false;
        self.is_scanning = false;
        let is_confirmed = self.is_runner_lost && self.followed.as_ref() == Some(&found);
        self.followed = Some(found);
        if now >= self.deadline {
            return self.give_up(RefusalReason::InProgress);
        }
        match (is_confirmed, self.has_status_path) {
            (false, _) => self.ask_runner(),
            (true, true) => self.next(CallStep::QueryService, CallAction::QueryService),
            (true, false) => self.on_asked(ServiceResult::Lost, now),
        }
    }

    pub(super) fn ask_runner(&mut self) -> Vec<CallAction> {
        let Some(row) = self.followed.as_ref().map(|found| &found.row) else {
            return self.read();
        };
        let CallRow::Dispatched {
            address,
            incarnation,
            ..
        } = row
        else {
            return self.read();
        };
        let action = CallAction::QueryRunner {
            key: self.key.clone(),
            address: address.clone(),
            incarnation: *incarnation,
        };
        self.next(CallStep::QueryRunner, action)
    }

    pub(super) fn on_runner(
        &mut self,
        state: Option<CallState>,
        now: MilliTime,
    ) -> Vec<CallAction> {
        self.is_runner_lost = state != Some(CallState::Running);
        match state {
            Some(CallState::Running) if now >= self.deadline => {
                self.give_up(RefusalReason::InProgress)
            }
            Some(CallState::Running) => self.wait(POLL_MS, now),
            // The runner records the outcome before it forgets the attempt, so that a second look
            // at the row tells whether it ended between the first look and the question.
            Some(CallState::Absent) | None => self.read(),
        }
    }

    pub(super) fn on_asked(&mut self, result: ServiceResult, now: MilliTime) -> Vec<CallAction> {
        if let ServiceResult::Answered {
            status,
            content_type,
            body,
        } = result
        {
            let mut actions = Vec::new();
            if body.len() <= MAX_RECORD_BYTES {
                actions.extend(self.record(status, &content_type, &body, now));
            }
            self.answer = Some((status, content_type));
            actions.extend(self.on_body(Some(body)));
            return actions;
        }
        self.questions += 1;
        self.is_runner_lost = false;
        if self.questions >= MAX_QUESTIONS || now >= self.deadline {
            return self.give_up(RefusalReason::EndpointLost);
        }
        self.followed = None;
        self.wait(FAILURE_WAIT_MS, now)
    }

    pub(super) fn record(
        &self,
        status: u16,
        content_type: &str,
        body: &str,
        now: MilliTime,
    ) -> Option<CallAction> {
        let found = self.followed.as_ref()?;
        Some(CallAction::Record(RowChange {
            key: self.key.clone(),
            version: Some(found.version),
            previous_version: None,
            row: CallRow::Done {
                token: found.row.token().to_owned(),
                fingerprint: self.fingerprint.clone(),
                status,
                content_type: content_type.to_owned(),
                body: body.to_owned(),
                in_object: false,
                written_ms: now.as_millis(),
            },
        }))
    }
}
