//! Guards against what a store breaks that comes back from an older copy: requests to engines that left, revoked keys
//! in use, two processes that send placement orders, and calls of all processes in one moment.

mod relay_support;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use dandelionroad_relay::node::RunningNode;

use crate::relay_support::NodePlace;
use crate::relay_support::World;
use crate::relay_support::fake_engine::FakeEngine;
use crate::relay_support::run;
use crate::relay_support::wait_for;

/// The interval at which the list of engines is read, in milliseconds.
const LIST_MS: u64 = 660;

/// The time after which an engine that leaves must get no requests.
const BOUND: Duration = Duration::from_millis(3 * LIST_MS);

/// The maximum age of the configuration with which keys are accepted, in milliseconds; both customers use it.
const KEY_AGE_MS: u64 = 4_700;

/// Starts a process.
async fn start_node(world: &World, name: &str) -> RunningNode {
    let node = world.node_at_interval(name, LIST_MS).await;
    let mut settings = node.settings().clone();
    settings.bounds.key_age_ms = KEY_AGE_MS;
    node.reload(&settings);
    node
}

/// Starts three processes that know each other.
async fn start_nodes(world: &World) -> Vec<RunningNode> {
    let mut nodes = Vec::new();
    for name in ["n1", "n2", "n3"] {
        nodes.push(start_node(world, name).await);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    nodes
}

/// Raises the version of the store as heartbeats do.
async fn beat(engines: &[&Rc<FakeEngine>], count: usize) {
    for _ in 0..count {
        engines.iter().for_each(|engine| engine.list(false));
    }
    // A read of the list gets to the raised version.
    tokio::time::sleep(Duration::from_millis(2 * LIST_MS)).await;
}

/// Versions that were given out again were taken for older ones: an engine that began to leave 0.7 s after the return
/// got requests for 4.7 s, as each read of the list was dropped.
#[test]
fn engine_leaving_after_return_gets_no_requests() {
    run(async {
        let world = World::start().await;
        let leaver = world.start_endpoint("p1").await;
        let stayer = world.start_endpoint("p2").await;
        let nodes = start_nodes(&world).await;
        world.store.take_copy();
        beat(&[&leaver, &stayer], 60).await;
        world.store.return_from_copy();
        tokio::time::sleep(Duration::from_millis(700)).await;
        leaver.list(true);
        let left = Instant::now();
        let mut late = None;
        while left.elapsed() < BOUND + Duration::from_millis(2_500) {
            let before = leaver.runs.borrow().len();
            for node in &nodes {
                assert_eq!(world.send(node, "/any/stock", "r1").await.status, 200);
            }
            if left.elapsed() > BOUND && leaver.runs.borrow().len() > before {
                late = Some(left.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(late, None, "the last request came too late");
    });
}

/// The copy holds an older configuration, in which a key is valid that was revoked since. No process may use it, a
/// process that starts then must take the newest from the others, and reads of the copy must not renew the freshness.
#[test]
fn key_revoked_after_copy_stays_refused() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_endpoint("p1").await;
        let nodes = start_nodes(&world).await;
        world.store.take_copy();
        world.configure(2, &["k2"]);
        for node in &nodes {
            wait_for("the key is refused", async || {
                world.send(node, "/any/stock", "r1").await.status == 401
            })
            .await;
        }
        world.store.return_from_copy();
        let returned = Instant::now();
        // The start ends when the process is ready.
        let started = start_node(&world, "n4").await;
        assert_eq!(world.send(&started, "/any/stock", "r2").await.status, 401);
        wait_for(
            "keys are refused as the configuration is too old",
            async || {
                let status = world.send(&nodes[0], "/any/stock", "r3").await.status;
                assert_ne!(status, 200);
                status == 503
            },
        )
        .await;
        let age = Duration::from_millis(KEY_AGE_MS);
        assert!(returned.elapsed() <= age + Duration::from_millis(500));
        world.configure(2, &["k2"]);
        wait_for("the configuration is confirmed", async || {
            world.send(&nodes[0], "/any/stock", "r4").await.status == 401
        })
        .await;
    });
}

/// The rows of processes that the copy lacks must be written again, or a process that starts finds nobody; not all in
/// one moment, as 300 processes would.
#[test]
fn members_are_listed_again_one_after_the_other() {
    run(async {
        let world = World::start().await;
        world.store.take_copy();
        let nodes = start_nodes(&world).await;
        world.store.return_from_copy();
        let returned = Instant::now();
        let mut listed = Vec::new();
        while listed.len() < nodes.len() {
            assert!(returned.elapsed() <= Duration::from_millis(3_000));
            let count = world.store.keys("members").len();
            listed.resize(count, returned.elapsed());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let spread = listed[listed.len() - 1] - listed[0];
        assert!(spread >= Duration::from_millis(100), "within {spread:?}");
        for node in &nodes {
            assert!(
                world
                    .has_metric_line(node, "dandelionroad_store_era 1")
                    .await
            );
        }
    });
}

/// A process that the store turns away must hear of the new era from the others: it kept the list of the era before, as
/// the versions of the changes were lower.
#[test]
fn era_reaches_process_without_store() {
    run(async {
        let world = World::start().await;
        let leaver = world.start_endpoint("p1").await;
        let stayer = world.start_endpoint("p2").await;
        let _nodes = start_nodes(&world).await;
        let (far, is_rejected) = world
            .node_with_switch_at("n4", NodePlace::ZoneB, LIST_MS)
            .await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        world.store.take_copy();
        beat(&[&leaver, &stayer], 60).await;
        is_rejected.set(true);
        world.store.return_from_copy();
        tokio::time::sleep(Duration::from_millis(700)).await;
        leaver.list(true);
        tokio::time::sleep(BOUND).await;
        assert!(
            world
                .has_metric_line(&far, "dandelionroad_store_era 1")
                .await
        );
        assert!(world.knows_engines(&far, 1).await);
    });
}
