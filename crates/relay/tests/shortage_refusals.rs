//! Guards against refusals in an order that contradicts the priorities of routes, and against counts of refusals that
//! name requests which were not refused.

mod relay_support;

use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::CapacityQueue;
use dandelionroad_core::relay::RelayConfig;
use dandelionroad_core::route::hash_text;
use dandelionroad_relay::node::RelayView;
use dandelionroad_relay::node::RunningNode;
use dandelionroad_relay::wire::StoreRow;
use dandelionroad_relay::wire::WireFormat;
use serde_json::json;

use crate::relay_support::ReadResponse;
use crate::relay_support::World;
use crate::relay_support::fake_engine::EngineFault;
use crate::relay_support::fake_engine::FakeEngine;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::test_wire::TestWire;
use crate::relay_support::wait_for;

/// The target time to the first event; a request waits for room for half of it.
const TARGET_MS: u64 = 4_000;

/// The time that the first request takes, a quarter of a wait.
const FIRST_WORK_MS: &str = "500";

/// The time that the other requests take: longer than a wait.
const LATER_WORK_MS: &str = "2500";

/// Starts a store with routes of two priorities, an engine that runs one request at a time, and a process.
async fn start_with_priorities() -> (World, Rc<FakeEngine>, RunningNode) {
    let world = World::start_unconfigured().await;
    let doc = json!({ "version": 1, "keys": ["k1"], "urgent_target_ms": TARGET_MS });
    world.store.put("config", "config", &doc);
    let engine = world.start_engine("e1", (0, 40)).await;
    engine.slots.set(1);
    engine.list(false);
    let node = world.start_node("n1").await;
    wait_for("the engine is known", async || {
        world.knows_engines(&node, 1).await
    })
    .await;
    (world, engine, node)
}

async fn send(
    world: &World,
    node: &RunningNode,
    path: &str,
    id: &str,
    work_ms: &str,
) -> ReadResponse {
    let host = ("host", "shop.example");
    let headers = [host, ("key", "k1"), ("request", id), ("work", work_ms)];
    world
        .get(node.settings().caller_address, path, &headers)
        .await
}

async fn refusal_count(world: &World, node: &RunningNode, rank: u8) -> f64 {
    let name = format!("dandelionroad_shortage_refusals_total{{rank=\"{rank}\"}} ");
    world.metric(node, &name).await
}

/// Guards against a less urgent request that gets the next room because it came first, and against one that reaches
/// an engine although its caller is told to return.
#[test]
fn refusal_of_less_urgent_request() {
    run(async {
        let (world, engine, node) = start_with_priorities().await;
        let occupy = send(&world, &node, "/urgent/a", "first", FIRST_WORK_MS);
        let compete = async {
            wait_for("the engine is full", async || {
                !engine.runs.borrow().is_empty()
            })
            .await;
            let least = send(&world, &node, "/model/a", "least", LATER_WORK_MS);
            let urgent = async {
                tokio::time::sleep(Duration::from_millis(50)).await;
                send(&world, &node, "/urgent/a", "urgent", LATER_WORK_MS).await
            };
            tokio::join!(least, urgent)
        };
        let (first, (least, urgent)) = tokio::join!(occupy, compete);
        assert_eq!((first.status, urgent.status), (200, 200));
        assert_eq!(least.status, 503);
        let retry_ms: u64 = least.headers["retry-after"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!((1..=6_000).contains(&retry_ms), "{retry_ms}");
        assert_eq!(engine.runs.borrow().as_slice(), ["first", "urgent"]);
        assert_eq!(refusal_count(&world, &node, 1).await, 1.0);
        assert_eq!(refusal_count(&world, &node, 0).await, 0.0);
    });
}

/// Guards against a stream that broke off and is counted as a refusal of the most urgent rank.
#[test]
fn refusal_count_after_broken_stream() {
    run(async {
        let (world, engine, node) = start_with_priorities().await;
        engine.fault.set(EngineFault::CutEvent);
        let answer = world.send(&node, "/model/a", "r1").await;
        assert!(!answer.is_complete);
        assert_eq!(refusal_count(&world, &node, 0).await, 0.0);
    });
}

/// Returns a configuration with or without two priorities.
fn config(version: u64, has_priorities: bool) -> RelayConfig {
    let target_ms = has_priorities.then_some(TARGET_MS);
    let doc = json!({ "version": version, "keys": ["k1"], "urgent_target_ms": target_ms });
    let row = StoreRow {
        key: "config".to_owned(),
        value: Some(doc.to_string().into_bytes()),
        version,
    };
    TestWire.decode_config(&[row]).unwrap().unwrap()
}

/// Guards against demand that is reported for good, and takes a share of engines, because its rank or its service is no
/// longer under shortage control.
#[test]
fn set_waiting_after_change_of_config() {
    run(async {
        let (_world, _engine, node) = start_with_priorities().await;
        let mut view = RelayView::new(node.settings());
        let mut queue = CapacityQueue::new();
        assert!(view.adopt(config(1, true)));
        let number = queue.add(hash_text(0, MODEL_SERVICE), 1, 0, 200.0);
        view.set_waiting(&queue);
        assert_eq!(view.demand.own_waiting(), [(0, 0.0), (1, 200.0)]);
        assert!(view.adopt(config(2, false)));
        queue.remove(number);
        view.set_waiting(&queue);
        assert_eq!(view.demand.own_demands(), []);
    });
}
