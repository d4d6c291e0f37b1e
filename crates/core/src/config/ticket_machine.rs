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

/// The number of tries after which a ticket that always meets other commits is given up.
const MAX_TRIES: u32 = 32;

/// The delay before the store is read again after a failure, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// Brings one submitted ticket to its verdict.
///
/// A lost answer of the table service is settled by reading back. If the ticket's row carries the
/// own token, the commit took effect. If the row is absent, a delayed commit could still arrive, so
/// the same plan is committed again: its checks let it take effect at most once.
#[derive(Clone, Debug)]
pub struct TicketMachine {
    ticket: ChangeTicket,
    token: String,
    accepted_at_ms: u64,
    deadline: MilliTime,
    config: Arc<ConfigState>,
    /// The plan that was committed last.
    plan: Option<CommitPlan>,
    /// The plan whose answer was lost and that may have taken effect.
    doubtful: Option<CommitPlan>,
    tries: u32,
}

impl TicketMachine {
    /// Creates the machine of a ticket.
    ///
    /// `token` must be unique to this submission. After `deadline` a lost answer is no longer
    /// settled and the verdict is [`TicketVerdict::Unknown`].
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
            doubtful: None,
            tries: 0,
        }
    }

    /// Returns the first action.
    pub fn start(&self) -> TicketAction {
        self.read_rows(0)
    }

    /// Takes in the result of the last action and returns the next one.
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
                self.doubtful = self.plan.clone();
                self.settle(now)
            }
            TicketEvent::ReadFailed | TicketEvent::CommitUnsent => {
                if self.doubtful.is_none() {
                    return TicketAction::Finish(TicketVerdict::StoreDown);
                }
                self.settle(now)
            }
        }
    }

    /// Returns the change that an accepted ticket makes, for the gossip.
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

    fn settle(&mut self, now: MilliTime) -> TicketAction {
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
        if let Some(verdict) = self.known_verdict(rows) {
            return TicketAction::Finish(verdict);
        }
        let revision_row = find_row(rows, REVISION_KEY);
        let version = revision_row.map(|row| row.version);
        if let Some(plan) = &self.doubtful
            && plan.checks[0].version == version
        {
            return TicketAction::Commit(plan.clone());
        }
        // If there was a doubtful plan, another commit has moved the revision row and excludes it.
        self.doubtful = None;
        self.tries += 1;
        if self.tries > MAX_TRIES {
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

    /// Returns the verdict if a ticket took effect under the number.
    fn known_verdict(&self, rows: &[StoredRow]) -> Option<TicketVerdict> {
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

    /// Returns the verdict if an object holds the state of a later ticket.
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
