//! Tests that change tickets commit exactly as their verdicts say, with concurrent tickets, lost
//! answers and outages of the table service.

mod seeded;

use std::sync::Arc;

use dandelionroad_core::config::ChangeTicket;
use dandelionroad_core::config::CommitPlan;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::LogRecord;
use dandelionroad_core::config::StoredRow;
use dandelionroad_core::config::TicketAction;
use dandelionroad_core::config::TicketEvent;
use dandelionroad_core::config::TicketMachine;
use dandelionroad_core::config::TicketVerdict;
use dandelionroad_core::config::check_ticket;
use dandelionroad_core::config::row_keys::LOG_PREFIX;
use dandelionroad_core::time::MilliTime;
use seeded::for_each_seed;

/// The number of random ticket scripts.
const SCRIPT_COUNT: u64 = 4_000;

/// The deadline for resolving a lost answer, in milliseconds.
const RESOLVE_DEADLINE_MS: u64 = 3_000;

/// Five tickets, each as (number, service, endpoint), and the steps of the run, each as (the ticket
/// that proceeds, the fault that occurs).
type TicketScript = ([(u8, u8, u8); 5], Vec<(u8, u8)>);

/// Eight tickets, each as (service, endpoint), and the received deltas, each as (base revision,
/// revision of the sender).
type DeltaScript = ([(u8, u8); 8], Vec<(u8, u8)>);

/// An in-memory table service that can lose answers, delay commits and be unavailable.
#[derive(Default)]
struct FakeTable {
    rows: Vec<StoredRow>,
    version: u64,
    is_down: bool,
    /// Commits whose answer was lost and that have not taken effect yet.
    delayed_commits: Vec<CommitPlan>,
}

impl FakeTable {
    fn row(&self, key: &str) -> Option<&StoredRow> {
        self.rows.iter().find(|row| row.key == key)
    }

    fn commit(&mut self, plan: &CommitPlan) -> bool {
        let row_version = |key: &str| self.row(key).map(|row| row.version);
        if plan
            .checks
            .iter()
            .any(|check| row_version(&check.key) != check.version)
        {
            return false;
        }
        self.version += 1;
        for write in &plan.writes {
            self.rows.retain(|row| row.key != write.key);
            self.rows.push(StoredRow {
                key: write.key.clone(),
                version: self.version,
                value: write.value.clone(),
            });
        }
        true
    }

    fn log(&self) -> Vec<LogRecord> {
        let rows = self
            .rows
            .iter()
            .filter(|row| row.key.starts_with(LOG_PREFIX));
        let records = rows.map(|row| serde_json::from_str(&row.value).unwrap());
        let mut records: Vec<LogRecord> = records.collect();
        records.sort_by_key(|record| record.revision);
        records
    }

    fn config(&self) -> ConfigState {
        let mut config = ConfigState::new();
        for record in self.log() {
            config.apply(&record.ticket);
        }
        config
    }

    /// Carries out an action of a ticket machine; `fault` selects which failure occurs.
    fn carry_out(&mut self, action: &TicketAction, fault: u8) -> TicketEvent {
        match action {
            TicketAction::Commit(_) if self.is_down => TicketEvent::CommitUnsent,
            TicketAction::Commit(plan) if fault.is_multiple_of(5) => {
                self.delayed_commits.push(plan.clone());
                TicketEvent::CommitLost
            }
            TicketAction::Commit(plan) => match (self.commit(plan), fault % 3) {
                (_, 0) => TicketEvent::CommitLost,
                (true, _) => TicketEvent::Committed,
                (false, _) => TicketEvent::CommitConflicted,
            },
            _ if self.is_down => TicketEvent::ReadFailed,
            TicketAction::ReadRows { keys, .. } => {
                let rows = keys.iter().filter_map(|key| self.row(key).cloned());
                TicketEvent::RowsRead(rows.collect())
            }
            _ => TicketEvent::CaughtUp(Arc::new(self.config())),
        }
    }
}

fn ticket(number: u64, name: u8, endpoint: u8) -> ChangeTicket {
    let text = format!(
        r#"{{"number":{number},"services":[{{"name":"service-{name}","idempotent":true,
        "endpoints":["node-{endpoint}"]}}]}}"#
    );
    ChangeTicket::parse(text.as_bytes()).unwrap()
}

/// Guards against a ticket that takes effect twice, in part or contrary to its verdict, and against
/// an object that goes back to an older ticket.
///
/// This can happen when a commit whose answer was lost takes effect late, after a retry or after a
/// concurrent ticket, so the test runs concurrent tickets with random lost answers, delayed commits
/// and outages.
#[test]
fn tickets_take_effect_as_their_verdicts_say() {
    for_each_seed(SCRIPT_COUNT, |(tickets, steps): &TicketScript| {
        let mut table = FakeTable::default();
        let mut now = MilliTime::default();
        let tickets = tickets.map(|(number, name, endpoint)| {
            ticket(u64::from(number % 4) + 1, name % 2, endpoint % 2)
        });
        let mut runs: Vec<(TicketMachine, TicketAction)> = Vec::new();
        for (index, ticket) in tickets.iter().enumerate() {
            let machine = TicketMachine::new(
                ticket.clone(),
                format!("token-{index}"),
                0,
                now.plus(RESOLVE_DEADLINE_MS),
                Arc::default(),
            );
            let action = machine.start();
            runs.push((machine, action));
        }
        // After the script, steps without faults follow, until every ticket has its verdict.
        let clean_steps = (0..255).cycle().map(|choice| (choice, 1)).take(2_000);
        for (position, (choice, fault)) in steps.iter().copied().chain(clean_steps).enumerate() {
            if position < steps.len() {
                match fault % 16 {
                    14 => table.is_down = !table.is_down,
                    15 => drop(table.delayed_commits.pop().map(|plan| table.commit(&plan))),
                    _ => {}
                }
            } else {
                table.is_down = false;
            }
            let index = choice as usize % runs.len();
            let (machine, action) = &mut runs[index];
            if !matches!(action, TicketAction::Finish(_)) {
                let event = table.carry_out(action, fault);
                now = now.plus(10);
                *action = machine.handle(now, event);
            }
        }
        while let Some(plan) = table.delayed_commits.pop() {
            table.commit(&plan);
        }
        check_verdicts(&table, &tickets, &runs);
    });
}

fn check_verdicts(
    table: &FakeTable,
    tickets: &[ChangeTicket],
    runs: &[(TicketMachine, TicketAction)],
) {
    let log = table.log();
    let revisions = log.iter().map(|record| record.revision);
    assert!(revisions.eq(1..=log.len() as u64), "revisions have gaps");
    let mut accepted = 0;
    for ((_, action), ticket) in runs.iter().zip(tickets) {
        let in_log = |revision: u64| &log[revision as usize - 1].ticket == ticket;
        let is_logged = log.iter().any(|record| record.ticket == *ticket);
        match action {
            TicketAction::Finish(TicketVerdict::Accepted { revision }) => {
                assert!(in_log(*revision), "accepted but not in the log: {ticket:?}");
                accepted += 1;
            }
            TicketAction::Finish(TicketVerdict::Repeated { revision }) => {
                assert!(in_log(*revision), "repeated but not in the log: {ticket:?}");
            }
            TicketAction::Finish(TicketVerdict::Unknown) => accepted += usize::from(is_logged),
            TicketAction::Finish(verdict) => {
                let equal_tickets = tickets.iter().filter(|other| *other == ticket).count();
                let is_excluded = !is_logged || equal_tickets > 1;
                assert!(is_excluded, "took effect despite {verdict:?}: {ticket:?}");
            }
            other => panic!("expected a verdict, got {other:?}"),
        }
    }
    assert!(accepted >= log.len(), "a ticket took effect twice");
    for record in &log {
        for change in record.ticket.changes(0) {
            let newest = table.config();
            let mark = newest.mark(change.mark.kind, &change.mark.name).unwrap();
            assert!(
                mark.ticket >= record.ticket.number,
                "object went back to an older ticket: {mark:?}"
            );
        }
    }
}

/// Guards against a deleted object that is restored by a late ticket with a lower number than the
/// ticket that deleted it.
#[test]
fn deleted_object_stays_deleted() {
    let mut table = FakeTable::default();
    let delete = r#"{"number":5,"delete":[{"kind":"service","name":"service-0"}]}"#;
    let delete = ChangeTicket::parse(delete.as_bytes()).unwrap();
    let mut verdicts = Vec::new();
    for ticket in [ticket(3, 0, 0), delete, ticket(4, 0, 1)] {
        let limit = MilliTime::MAX;
        let mut machine = TicketMachine::new(ticket, "t".to_owned(), 0, limit, Arc::default());
        let mut action = machine.start();
        while !matches!(action, TicketAction::Finish(_)) {
            let event = table.carry_out(&action, 1);
            action = machine.handle(MilliTime::default(), event);
        }
        verdicts.push(action);
    }
    let is_superseded = |action: &TicketAction| {
        matches!(
            action,
            TicketAction::Finish(TicketVerdict::Superseded { holds: 5, .. })
        )
    };
    assert!(is_superseded(&verdicts[2]), "{verdicts:?}");
    assert!(table.config().services.is_empty());
}

/// Guards against a fault that is missed, or reported at a wrong place, when a ticket has several.
#[test]
fn check_ticket_reports_every_fault() {
    let secret = "ab".repeat(32);
    let text = format!(
        r#"{{"number":0,
        "accounts":[
            {{"name":"a","secret_sha256":"{secret}","units_per_second":1,"burst_units":1,"weight":0}},
            {{"name":"b","secret_sha256":"{secret}","units_per_second":1,"burst_units":1,"weight":1,
             "services":["s"],"models":["n"]}}],
        "models":[{{"name":"m","version":1,"layers":4,"weights":"w"}}],
        "pools":[{{"name":"p","model":"m","version":1,"min_ready":3,"endpoints":[
            {{"name":"e","first_layer":0,"end_layer":2,"tokens_per_second":0}},
            {{"name":"e","first_layer":3,"end_layer":9,"tokens_per_second":1}}]}}],
        "services":[{{"name":"t","idempotent":true,"endpoints":["e","e"],"status_path":"x"}},
            {{"name":"t","idempotent":true,"endpoints":[]}}],
        "delete":[{{"kind":"pool","name":"q"}}]}}"#
    );
    let ticket = ChangeTicket::parse(text.as_bytes()).unwrap();
    let faults = check_ticket(&ticket, &ConfigState::new());
    let mut places: Vec<&str> = faults.iter().map(|fault| fault.place.as_str()).collect();
    places.sort_unstable();
    places.dedup();
    let expected = [
        "accounts[0].secret_sha256",
        "accounts[0].weight",
        "accounts[1].models[0]",
        "accounts[1].secret_sha256",
        "accounts[1].services[0]",
        "delete[0]",
        "number",
        "pools[0].endpoints",
        "pools[0].endpoints[0].tokens_per_second",
        "pools[0].endpoints[1].end_layer",
        "pools[0].endpoints[1].name",
        "pools[0].min_ready",
        "services[0].endpoints[1]",
        "services[0].status_path",
        "services[1]",
    ];
    assert_eq!(places, expected, "{faults:?}");
}

/// Guards against a delta that reverts a configuration to an older revision, and against one that is
/// applied to a revision older than its base, which skips the changes in between.
#[test]
fn apply_delta_keeps_revisions_complete() {
    for_each_seed(500, |(changes, deltas): &DeltaScript| {
        let mut states = vec![ConfigState::new()];
        for (index, (name, content)) in changes.iter().enumerate() {
            let mut next = states[index].clone();
            next.apply(&ticket(index as u64 + 1, name % 3, *content));
            states.push(next);
        }
        let mut held = ConfigState::new();
        for (base, revision) in deltas {
            let source = &states[*revision as usize % states.len()];
            let before = held.revision;
            held.apply_delta(&source.delta_since(u64::from(base % 9)));
            assert!(
                held.revision >= before,
                "went back from revision {before} to {}",
                held.revision
            );
            assert_eq!(held, states[held.revision as usize]);
        }
    });
}
