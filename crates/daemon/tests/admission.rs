//! Guards against an admission gate that lets a flood of one client account delay the others, and
//! against slots that are leaked when a waiting task is dropped or its deadline passes.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dandelionroad_core::admit::AdmitConfig;
use dandelionroad_core::admit::AdmitItem;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;
use dandelionroad_daemon::endpoint::admission::WorkGate;
use dandelionroad_daemon::node::NodeClock;

const UNITS: u64 = 10;
const DEADLINE_MS: u64 = 60_000;

fn gate(clock: NodeClock) -> Arc<WorkGate> {
    WorkGate::new(clock, AdmitConfig::new(1_000, 1, 1_000_000))
}

fn item(clock: NodeClock, account: &str, time_ms: u64) -> AdmitItem {
    AdmitItem {
        request: RequestIdent::parse("same").unwrap(),
        account: AccountName::parse(account).unwrap(),
        weight: 1,
        priority: 0,
        units: UNITS,
        deadline: clock.now().plus(time_ms),
        is_suspect: false,
    }
}

/// Waits until `units` are queued; the timeout is only reached by a failing test.
async fn wait_for_queued_units(gate: &WorkGate, units: u64) {
    let reaching = async {
        while gate.load_report().queued_units != units {
            tokio::task::yield_now().await;
        }
    };
    let limit = Duration::from_secs(10);
    let reached = tokio::time::timeout(limit, reaching).await;
    assert!(
        reached.is_ok(),
        "{} units wait",
        gate.load_report().queued_units
    );
}

/// Guards against a client account whose many queued requests delay the only request of another.
#[tokio::test]
async fn gate_serves_small_account_before_flood() {
    let clock = NodeClock::start();
    let gate = gate(clock);
    let first = gate.admit(item(clock, "large", DEADLINE_MS)).await.unwrap();
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for (index, account) in ["large", "large", "large", "small"].into_iter().enumerate() {
        let (gate, order) = (gate.clone(), order.clone());
        let waiting = item(clock, account, DEADLINE_MS);
        let admitting = gate.clone();
        tasks.push(tokio::spawn(async move {
            let permit = admitting.admit(waiting).await.unwrap();
            order.lock().unwrap().push(account);
            permit.complete();
        }));
        wait_for_queued_units(&gate, (index as u64 + 1) * UNITS).await;
    }
    first.complete();
    for task in tasks {
        task.await.unwrap();
    }
    assert_eq!(*order.lock().unwrap(), ["small", "large", "large", "large"]);
}

/// Guards against queued work that remains after its waiting task was dropped, as happens when a
/// caller disconnects, and against its later start without a task.
#[tokio::test]
async fn gate_removes_dropped_waiter() {
    let clock = NodeClock::start();
    let gate = gate(clock);
    let first = gate.admit(item(clock, "a", DEADLINE_MS)).await.unwrap();
    let waiting = gate.clone();
    let waiter = item(clock, "a", DEADLINE_MS);
    let task = tokio::spawn(async move { waiting.admit(waiter).await.map(drop) });
    wait_for_queued_units(&gate, UNITS).await;
    task.abort();
    wait_for_queued_units(&gate, 0).await;
    drop(first);
    assert_eq!(gate.load_report().running_units, 0);
}

/// Guards against a request that waits beyond its deadline, and against a slot that is lost when
/// the request is refused.
#[tokio::test]
async fn gate_refuses_at_deadline_and_keeps_slot() {
    let clock = NodeClock::start();
    let gate = gate(clock);
    let first = gate.admit(item(clock, "a", DEADLINE_MS)).await.unwrap();
    let refused = gate.admit(item(clock, "a", 20)).await.map(drop);
    assert_eq!(refused.unwrap_err().0, RefusalReason::Deadline);
    drop(first);
    assert!(gate.admit(item(clock, "a", DEADLINE_MS)).await.is_ok());
}
