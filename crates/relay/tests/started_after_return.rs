//! Guards against processes that start beside a store that has come back from an older copy, and use a key that was revoked
//! since the copy or refuse sound requests for longer than needed.

mod relay_support;

use std::time::Duration;
use std::time::Instant;

use dandelionroad_relay::node::RunningNode;

use crate::relay_support::World;
use crate::relay_support::run;
use crate::relay_support::wait_for;

/// The time after the return within which the operator writes again.
const REWRITE: Duration = Duration::from_millis(2_000);

/// Sends a request with a key, at a path that needs one; returns the status.
async fn send_with(world: &World, node: &RunningNode, key: &str) -> u16 {
    let headers = [("host", "shop.example"), ("key", key), ("request", "r1")];
    let address = node.settings().caller_address;
    world.get(address, "/any/stock", &headers).await.status
}

async fn is_ready(world: &World, node: &RunningNode) -> bool {
    let address = node.settings().readiness_address;
    world.get(address, "/", &[]).await.status == 200
}

/// A balancer may send callers to a process before it is ready. One that started while the others knew of the revocation
/// served the key until it had heard from them.
#[test]
fn started_process_beside_others_uses_no_revoked_key() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_endpoint("p1").await;
        let others = [world.start_node("n1").await, world.start_node("n2").await];
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        world.store.take_copy();
        world.configure(2, &["k2"]);
        for node in &others {
            wait_for("the key is refused", async || {
                send_with(&world, node, "k1").await == 401
            })
            .await;
        }
        world.store.return_from_copy();
        let started = world.start_unready_node("n3").await;
        let start = Instant::now();
        let mut served_after = None;
        while start.elapsed() < REWRITE - Duration::from_millis(200) {
            assert_ne!(send_with(&world, &started, "k1").await, 200);
            if served_after.is_none() && send_with(&world, &started, "k2").await == 200 {
                served_after = Some(start.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // The others' knowledge is enough, also while no read of the store is.
        let served_after =
            served_after.expect("a valid key is refused until the store has settled");
        assert!(
            served_after <= Duration::from_millis(1_200),
            "{served_after:?}"
        );
    });
}

/// Without another process there is nobody to hear from: all processes that started right after the return said that they
/// are ready, and served the key until the operator had written again.
#[test]
fn started_processes_alone_wait_for_operator() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_endpoint("p1").await;
        world.store.take_copy();
        world.configure(2, &["k2"]);
        world.store.return_from_copy();
        let returned = Instant::now();
        let nodes = [
            world.start_unready_node("n1").await,
            world.start_unready_node("n2").await,
        ];
        while returned.elapsed() < REWRITE {
            for node in &nodes {
                assert_ne!(send_with(&world, node, "k1").await, 200);
                assert!(!is_ready(&world, node).await);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        world.configure(2, &["k2"]);
        for node in &nodes {
            wait_for("the process is ready", async || {
                is_ready(&world, node).await
            })
            .await;
            assert_ne!(send_with(&world, node, "k1").await, 200);
            wait_for("the valid key is served", async || {
                send_with(&world, node, "k2").await == 200
            })
            .await;
        }
        let left = returned.elapsed() - REWRITE;
        assert!(
            left <= Duration::from_millis(1_500),
            "ready after {left:?} more"
        );
    });
}

/// The era lasts until the next return. A process that starts in it much later must not wait as after a return, also if it
/// finds no other process.
#[test]
fn started_process_in_settled_era_is_ready_at_once() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_endpoint("p1").await;
        world.store.take_copy();
        world.store.return_from_copy();
        let first = world.start_node("n1").await;
        wait_for("the era is noted", async || {
            !world.store.keys("eras").is_empty()
        })
        .await;
        drop(first);
        // The member row of the first process names an address where nobody answers any more.
        let start = Instant::now();
        let second = world.start_unready_node("n2").await;
        wait_for("the process is ready", async || {
            is_ready(&world, &second).await
        })
        .await;
        assert_eq!(send_with(&world, &second, "k1").await, 200);
        let took = start.elapsed();
        assert!(took <= Duration::from_millis(700), "ready after {took:?}");
        // The next return makes the note an old one.
        world.store.return_from_copy();
        let third = world.start_unready_node("n3").await;
        drop(second);
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        assert!(!is_ready(&world, &third).await);
    });
}
