//! Racing tickets, lost answers and outages of the table service.

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

const SCRIPTS: u64 = 4_000;

/// The time in which a lost answer is settled, in milliseconds.
const SETTLE_MS: u64 = 3_000;

/// Number, name and content of five tickets, and the steps: which machine goes on, and what fails.
type TicketScript = ([(u8, u8, u8); 5], Vec<(u8, u8)>);

/// Name and content of eight tickets, and the base and source revision of deltas.
type DeltaScript = ([(u8, u8); 8], Vec<(u8, u8)>);

/// A table service that can lose answers, hold back commits, and be down.
#[derive(Default)]
struct FakeTable {
    rows: Vec<StoredRow>,
    version: u64,
    is_down: bool,
    /// Commits whose answer was lost before they took effect.
    held_back: Vec<CommitPlan>,
}

impl FakeTable {
    fn row(&self, key: &str) -> Option<&StoredRow> {
        self.rows.iter().find(|row| row.key == key)
    }

    fn commit(&mut self, plan: &CommitPlan) -> bool {
        let holds = |key: &str| self.row(key).map(|row| row.version);
        if plan
            .checks
            .iter()
            .any(|check| holds(&check.key) != check.version)
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

    /// Does what a machine asks for; `fault` chooses what goes wrong.
    fn carry_out(&mut self, action: &TicketAction, fault: u8) -> TicketEvent {
        match action {
            TicketAction::Commit(_) if self.is_down => TicketEvent::CommitUnsent,
            TicketAction::Commit(plan) if fault.is_multiple_of(5) => {
                self.held_back.push(plan.clone());
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

/// Guards against tickets that take effect twice, in part, or against a verdict that says
/// otherwise, and against objects that go back to an older ticket.
#[test]
fn tickets_take_effect_as_their_verdicts_say() {
    for_each_seed(SCRIPTS, |(tickets, steps): &TicketScript| {
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
                now.plus(SETTLE_MS),
                Arc::default(),
            );
            let action = machine.start();
            runs.push((machine, action));
        }
        // After the script, everything works again until all verdicts are out.
        let rest = (0..255).cycle().map(|choice| (choice, 1)).take(2_000);
        for (position, (choice, fault)) in steps.iter().copied().chain(rest).enumerate() {
            if position < steps.len() {
                match fault % 16 {
                    14 => table.is_down = !table.is_down,
                    15 => drop(table.held_back.pop().map(|plan| table.commit(&plan))),
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
        while let Some(plan) = table.held_back.pop() {
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
                assert!(in_log(*revision), "accepted but lost: {ticket:?}");
                accepted += 1;
            }
            TicketAction::Finish(TicketVerdict::Repeated { revision }) => {
                assert!(in_log(*revision), "repeated but lost: {ticket:?}");
            }
            TicketAction::Finish(TicketVerdict::Unknown) => accepted += usize::from(is_logged),
            TicketAction::Finish(verdict) => {
                let twins = tickets.iter().filter(|other| *other == ticket).count();
                let is_excluded = !is_logged || twins > 1;
                assert!(
                    is_excluded,
                    "took effect in spite of {verdict:?}: {ticket:?}"
                );
            }
            other => panic!("no verdict but {other:?}"),
        }
    }
    assert!(accepted >= log.len(), "a ticket took effect twice");
    for record in &log {
        for change in record.ticket.changes(0) {
            let newest = table.config();
            let mark = newest.mark(change.mark.kind, &change.mark.name).unwrap();
            assert!(
                mark.ticket >= record.ticket.number,
                "object went back: {mark:?}"
            );
        }
    }
}

/// Guards against an object that a late ticket with a lower number restores after its deletion.
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

/// Guards against a fault of a ticket that is not found, or whose place is not named.
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

/// Guards against a delta that takes a configuration back, or that skips changes before its base.
#[test]
fn adopt_keeps_every_revision_whole() {
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
            assert!(held.revision >= before, "went back to {}", held.revision);
            assert_eq!(held, states[held.revision as usize]);
        }
    });
}
