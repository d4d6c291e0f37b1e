//! Following a row that another order has dispatched.

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

/// The number of rounds of queries to runner and service after which a request is refused without a
/// known outcome.
const MAX_QUERIES: u32 = 3;

/// The interval between two queries for a running call, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// The maximum size of a body that is recorded for an outcome found at the service, in bytes.
const MAX_RECORD_BYTES: usize = 32 * 1024;

impl CallMachine {
    pub(super) fn on_dispatched(&mut self, found: VersionedRow, now: MilliTime) -> Vec<CallAction> {
        self.is_known_unrun = false;
        self.is_scanning = false;
        let is_confirmed = self.is_runner_lost && self.followed.as_ref() == Some(&found);
        self.followed = Some(found);
        if now >= self.deadline {
            return self.give_up(RefusalReason::InProgress);
        }
        match (is_confirmed, self.has_status_path) {
            (false, _) => self.query_runner(),
            (true, true) => self.transition(CallStep::QueryService, CallAction::QueryService),
            (true, false) => self.on_service_queried(ServiceResult::Lost, now),
        }
    }

    pub(super) fn query_runner(&mut self) -> Vec<CallAction> {
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
        self.transition(CallStep::QueryRunner, action)
    }

    pub(super) fn on_runner_queried(
        &mut self,
        state: Option<CallState>,
        now: MilliTime,
    ) -> Vec<CallAction> {
        self.is_runner_lost = state != Some(CallState::Running);
        match state {
            Some(CallState::Running) if now >= self.deadline => {
                self.give_up(RefusalReason::InProgress)
            }
            Some(CallState::Running) => self.wait(POLL_INTERVAL_MS, now),
            // The runner records the outcome before it drops the attempt, so a second read of the
            // row shows whether the call ended between the first read and the query.
            Some(CallState::Absent) | None => self.read(),
        }
    }

    pub(super) fn on_service_queried(
        &mut self,
        result: ServiceResult,
        now: MilliTime,
    ) -> Vec<CallAction> {
        if let ServiceResult::Answered {
            status,
            content_type,
            body,
        } = result
        {
            let mut actions = Vec::new();
            if body.len() <= MAX_RECORD_BYTES {
                actions.extend(self.record_outcome(status, &content_type, &body, now));
            }
            self.answer = Some((status, content_type));
            actions.extend(self.on_body(Some(body)));
            return actions;
        }
        self.queries += 1;
        self.is_runner_lost = false;
        if self.queries >= MAX_QUERIES || now >= self.deadline {
            return self.give_up(RefusalReason::EndpointLost);
        }
        self.followed = None;
        self.wait(FAILURE_WAIT_MS, now)
    }

    pub(super) fn record_outcome(
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
