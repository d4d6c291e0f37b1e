use std::sync::Arc;

use crate::time::MilliTime;

use super::ChangeTicket;
use super::CommitPlan;
use super::ConfigDelta;
use super::ConfigState;
use super::ObjectChange;
use super::ObjectRef;
use super::StoredRow;
use super::TicketAction;
use super::TicketEvent;
use super::TicketRecord;
use super::TicketVerdict;
use super::commit_plan::find_row;
use super::row_keys::REVISION_KEY;
use super::row_keys::object_key;
use super::row_keys::ticket_key;
use super::ticket_check::check_ticket;

/// The maximum number of attempts to commit a ticket that conflicts with concurrent commits.
const MAX_ATTEMPTS: u32 = 32;

/// The delay before rows are read again, after a failure or when they are older than the local
/// configuration, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// The state machine that commits one submitted ticket.
///
/// It performs no I/O: the driver carries out each action and reports the result as an event, until
/// the action is [`TicketAction::Finish`].
///
/// A commit whose answer was lost is in doubt and is resolved by reading the rows again. If the row
/// of the ticket contains the token of this submission, the commit took effect. If the row is absent,
/// the commit may still arrive late, so the same plan is committed again: its checks ensure that it
/// takes effect at most once.
#[derive(Clone, Debug)]
pub struct TicketMachine {
    ticket: ChangeTicket,
    token: String,
    accepted_at_ms: u64,
    deadline: MilliTime,
    config: Arc<ConfigState>,
    /// The last plan that was sent.
    plan: Option<CommitPlan>,
    /// The plan whose answer was lost, so that it may have taken effect.
    in_doubt: Option<CommitPlan>,
    attempts: u32,
}

impl TicketMachine {
    /// Creates the state machine of a ticket.
    ///
    /// `token` must be unique to this submission. `accepted_at_ms` is the wall-clock time of its
    /// acceptance, and `config` is the configuration that the process currently holds. A commit that
    /// is still in doubt at `deadline` ends with [`TicketVerdict::Unknown`].
    pub fn new(
        ticket: ChangeTicket,
        token: String,
        accepted_at_ms: u64,
        deadline: MilliTime,
        config: Arc<ConfigState>,
    ) -> TicketMachine {
        TicketMachine {
            ticket,
            token,
            accepted_at_ms,
            deadline,
            config,
            plan: None,
            in_doubt: None,
            attempts: 0,
        }
    }

    /// Returns the first action to carry out.
    pub fn start(&self) -> TicketAction {
        self.read_rows(0)
    }

    /// Handles the result of the last action and returns the next action.
    pub fn handle(&mut self, now: MilliTime, event: TicketEvent) -> TicketAction {
        match event {
            TicketEvent::RowsRead(rows) => self.decide(&rows),
            TicketEvent::CaughtUp(config) => {
                self.config = config;
                self.read_rows(0)
            }
            TicketEvent::Committed => self.accept(),
            TicketEvent::CommitConflicted => self.read_rows(0),
            TicketEvent::CommitLost => {
                self.in_doubt = self.plan.clone();
                self.resolve_in_doubt(now)
            }
            TicketEvent::ReadFailed | TicketEvent::CommitUnsent => {
                if self.in_doubt.is_none() {
                    return TicketAction::Finish(TicketVerdict::StoreDown);
                }
                self.resolve_in_doubt(now)
            }
        }
    }

    /// Returns the delta of an accepted ticket, to be spread by gossip.
    pub fn accepted_delta(&self) -> ConfigDelta {
        let mut config = ConfigState::clone(&self.config);
        config.apply(&self.ticket);
        config.delta_since(self.config.revision)
    }

    fn read_rows(&self, delay_ms: u64) -> TicketAction {
        TicketAction::ReadRows {
            keys: CommitPlan::keys(&self.ticket),
            delay_ms,
        }
    }

    fn resolve_in_doubt(&mut self, now: MilliTime) -> TicketAction {
        if now >= self.deadline {
            return TicketAction::Finish(TicketVerdict::Unknown);
        }
        self.read_rows(RETRY_DELAY_MS)
    }

    fn accept(&self) -> TicketAction {
        let revision = self.config.revision + 1;
        TicketAction::Finish(TicketVerdict::Accepted { revision })
    }

    fn decide(&mut self, rows: &[StoredRow]) -> TicketAction {
        if let Some(verdict) = self.recorded_verdict(rows) {
            return TicketAction::Finish(verdict);
        }
        let revision_row = find_row(rows, REVISION_KEY);
        let version = revision_row.map(|row| row.version);
        if let Some(plan) = &self.in_doubt
            && plan.checks[0].version == version
        {
            return TicketAction::Commit(plan.clone());
        }
        // If a plan is in doubt here, the revision row has changed since it was made: its check fails
        // and it can no longer take effect.
        self.in_doubt = None;
        self.attempts += 1;
        if self.attempts > MAX_ATTEMPTS {
            return TicketAction::Finish(TicketVerdict::Busy);
        }
        let revision = revision_row.and_then(|row| row.value.parse().ok());
        let revision: u64 = revision.unwrap_or(0);
        if self.config.revision < revision {
            return TicketAction::CatchUp { revision };
        }
        if self.config.revision > revision {
            return self.read_rows(RETRY_DELAY_MS);
        }
        if let Some(verdict) = self.superseded_verdict(rows) {
            return TicketAction::Finish(verdict);
        }
        let faults = check_ticket(&self.ticket, &self.config);
        if !faults.is_empty() {
            return TicketAction::Finish(TicketVerdict::Invalid { faults });
        }
        let plan = CommitPlan::new(
            &self.ticket,
            &self.token,
            self.accepted_at_ms,
            revision,
            rows,
        );
        self.plan = Some(plan.clone());
        TicketAction::Commit(plan)
    }

    /// Returns the verdict if a ticket with the same number was committed.
    fn recorded_verdict(&self, rows: &[StoredRow]) -> Option<TicketVerdict> {
        let row = find_row(rows, &ticket_key(self.ticket.number))?;
        let Ok(record) = serde_json::from_str::<TicketRecord>(&row.value) else {
            return Some(TicketVerdict::Conflict { revision: 0 });
        };
        let revision = record.revision;
        Some(if record.token == self.token {
            TicketVerdict::Accepted { revision }
        } else if record.digest == TicketRecord::digest_of(&self.ticket) {
            TicketVerdict::Repeated { revision }
        } else {
            TicketVerdict::Conflict { revision }
        })
    }

    /// Returns the verdict if an object of the ticket was last changed by a ticket with a higher
    /// number.
    fn superseded_verdict(&self, rows: &[StoredRow]) -> Option<TicketVerdict> {
        let changes = self.ticket.changes(0);
        changes.iter().find_map(|change| {
            let mark = &change.mark;
            let row = find_row(rows, &object_key(mark.kind, &mark.name))?;
            let held: ObjectChange = serde_json::from_str(&row.value).ok()?;
            let object = ObjectRef {
                kind: mark.kind,
                name: mark.name.clone(),
            };
            let holds = held.mark.ticket;
            (holds > self.ticket.number).then_some(TicketVerdict::Superseded { object, holds })
        })
    }
}
