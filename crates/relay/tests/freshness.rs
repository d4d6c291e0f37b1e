//! Guards against keys and engines that are used after they were taken away, also while the store
//! can't be reached, and against calls of the store that grow with the number of processes.

mod relay_support;

use std::time::Duration;
use std::time::Instant;

use dandelionroad_relay::node::RunningNode;
use dandelionroad_relay::peer::ConfirmMessage;
use dandelionroad_relay::peer::PeerDatagram;
use tokio::net::UdpSocket;

use crate::relay_support::KEY_AGE_MS;
use crate::relay_support::NodePlace;
use crate::relay_support::World;
use crate::relay_support::run;
use crate::relay_support::wait_for;

#[test]
fn key_taken_away_stops_working() {
    run(async {
        let world = World::start().await;
        let engine = world.plain("p1").await;
        let nodes = [world.node("n1").await, world.node("n2").await];
        for node in &nodes {
            assert_eq!(world.ask(node, "/any/stock", "r1").await.status, 200);
        }
        world.configure(7, &["k2"]);
        for node in &nodes {
            wait_for("the key is refused", async || {
                world.ask(node, "/any/stock", "r2").await.status == 401
            })
            .await;
        }
        let runs = engine.runs.borrow().len();
        // An older configuration that turns up later changes nothing.
        world.configure(3, &["k1"]);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(world.ask(&nodes[0], "/any/stock", "r3").await.status, 401);
        assert_eq!(engine.runs.borrow().len(), runs);
    });
}

#[test]
fn key_is_refused_when_store_is_silent() {
    run(async {
        let world = World::start().await;
        let engine = world.plain("p1").await;
        let node = world.node("n1").await;
        assert_eq!(world.ask(&node, "/any/stock", "r1").await.status, 200);
        world.store.is_silent.set(true);
        let silent = Instant::now();
        wait_for("keys are refused", async || {
            world.ask(&node, "/any/stock", "r2").await.status == 503
        })
        .await;
        assert!(silent.elapsed() <= Duration::from_millis(KEY_AGE_MS + 200));
        let runs = engine.runs.borrow().len();
        let answer = world.ask(&node, "/any/stock", "r3").await;
        assert!(answer.headers.contains_key("retry-after"));
        // While the configuration may be old, nothing is denied by it either.
        assert_eq!(world.ask(&node, "/no/x", "r4").await.status, 503);
        assert_eq!(engine.runs.borrow().len(), runs);
        world.store.is_silent.set(false);
        wait_for("keys work again", async || {
            world.ask(&node, "/any/stock", "r5").await.status == 200
        })
        .await;
    });
}

#[test]
fn engine_that_drains_gets_nothing_new() {
    run(async {
        let world = World::start().await;
        let leaving = world.plain("p1").await;
        let staying = world.plain("p2").await;
        let node = world.node("n1").await;
        leaving.list(true);
        wait_for("the change is known", async || {
            let before = leaving.runs.borrow().len();
            for request in 0..4 {
                world.ask(&node, "/any/stock", &format!("r{request}")).await;
            }
            leaving.runs.borrow().len() == before
        })
        .await;
        world.store.remove("engines", "p2");
        staying.runs.borrow_mut().clear();
        wait_for("nobody is left", async || {
            world.ask(&node, "/any/stock", "r9").await.status == 503
        })
        .await;
    });
}

/// Replays a store that turns one host away while the configuration and the engines change: the
/// process goes on with what another one hands it, and withdrawn keys stop working all the same.
#[test]
fn process_turned_away_follows_another() {
    run(async {
        let world = World::start().await;
        let old = world.plain("p1").await;
        let _reader = world.node("n1").await;
        let (node, is_refused) = world.node_turned_away("n2").await;
        // The processes learn of each other through the store first.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        is_refused.set(true);
        let refused = Instant::now();
        world.configure(5, &["k1", "k3"]);
        let new = world.plain("p2").await;
        old.list(true);
        wait_for("the new engine alone is used", async || {
            let before = old.runs.borrow().len();
            let status = world.ask(&node, "/any/stock", "r1").await.status;
            status == 200 && old.runs.borrow().len() == before && !new.runs.borrow().is_empty()
        })
        .await;
        let patience = Duration::from_millis(2 * KEY_AGE_MS);
        while refused.elapsed() < patience {
            assert_eq!(world.ask(&node, "/any/stock", "r2").await.status, 200);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        world.configure(6, &["k3"]);
        wait_for("the key is refused", async || {
            world.ask(&node, "/any/stock", "r3").await.status == 401
        })
        .await;
    });
}

/// Replays a store that turns away the very process that reads it for the others, right before a key is
/// taken away: the others have to notice by themselves. A change is to be in force after two seconds.
#[test]
fn change_is_in_force_when_reader_is_turned_away() {
    const IN_FORCE: Duration = Duration::from_millis(2_000);
    run(async {
        let world = World::start().await;
        let _engine = world.plain("p1").await;
        let (left, left_switch) = world.node_turned_away("n1").await;
        let (right, right_switch) = world.node_turned_away("n2").await;
        let is_left_first = left.settings().peer_address < right.settings().peer_address;
        let (switch, other) = match is_left_first {
            true => (left_switch, &right),
            false => (right_switch, &left),
        };
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let mut slowest = Duration::ZERO;
        for round in 0..5_u64 {
            world.configure(2 * round + 10, &["k1"]);
            wait_for("the key works", async || {
                world.ask(other, "/any/stock", "r1").await.status == 200
            })
            .await;
            tokio::time::sleep(Duration::from_millis(250 + 40 * round)).await;
            switch.set(true);
            // The reader's wait for a change may still be answered.
            tokio::time::sleep(Duration::from_millis(20)).await;
            world.configure(2 * round + 11, &["k2"]);
            let changed = Instant::now();
            wait_for("the key is refused", async || {
                world.ask(other, "/any/stock", "r2").await.status != 200
            })
            .await;
            slowest = slowest.max(changed.elapsed());
            switch.set(false);
        }
        assert!(slowest <= IN_FORCE, "in force after {slowest:?}");
    });
}

/// Starts six processes that know of each other.
async fn six_nodes(world: &World) -> Vec<RunningNode> {
    let mut nodes = Vec::new();
    for index in 0..6 {
        nodes.push(world.node_at_interval(&format!("n{index}"), 660).await);
    }
    // The processes learn of each other through the store first.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    nodes
}

/// The time in which an endpoint that has left must be forgotten: the shortest of the users' sites.
const DRAINED: Duration = Duration::from_millis(2_000);

/// Replays several processes on a calm day: one reads the list, the others hear that it is the newest.
#[test]
fn listing_is_read_by_one_process() {
    run(async {
        let world = World::start().await;
        let _engine = world.plain("p1").await;
        let _nodes = six_nodes(&world).await;
        let before = world.store.listing_reads.get();
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        let reads = world.store.listing_reads.get() - before;
        // One process alone reads six times in four seconds; six that each read for themselves 36.
        assert!(reads <= 12, "{reads} reads in four seconds");
    });
}

/// Replays engines that come and go: each change of the list was read by all processes, a call or two
/// for each.
#[test]
fn changes_are_read_once_for_zone() {
    run(async {
        let world = World::start().await;
        let _engine = world.plain("p1").await;
        let nodes = six_nodes(&world).await;
        let before = world.store.listing_reads.get();
        for change in 0..4 {
            let id = format!("q{change}");
            let _added = world.plain(&id).await;
            for node in &nodes {
                wait_for("the change is known", async || {
                    world.knows_engines(node, change + 2).await
                })
                .await;
            }
        }
        let reads = world.store.listing_reads.get() - before;
        // One process reads at its interval; six that each read every change take 20 reads more.
        assert!(reads <= 14, "{reads} reads for four changes");
    });
}

/// Replays an outage of the store: all processes tried it again several times a second.
#[test]
fn outage_is_tried_by_few_processes() {
    run(async {
        let world = World::start().await;
        let _engine = world.plain("p1").await;
        let mut nodes = Vec::new();
        let mut switches = Vec::new();
        for index in 0..6 {
            let (node, switch) = world.node_turned_away(&format!("n{index}")).await;
            nodes.push(node);
            switches.push(switch);
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        switches.iter().for_each(|switch| switch.set(true));
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let before = world.turned_away.get();
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        let calls = world.turned_away.get() - before;
        // Two tables: 32 tries by the first process, 16 by the second and so on make 78 in all; six that
        // all try like the first make 192.
        assert!(calls <= 100, "{calls} calls in four seconds");
        switches.iter().for_each(|switch| switch.set(false));
        for node in &nodes {
            wait_for("the key works again", async || {
                world.ask(node, "/any/stock", "r1").await.status == 200
            })
            .await;
        }
    });
}

/// A bound that the operator has lowered must hold without a restart.
#[test]
fn key_age_reloaded_is_in_force() {
    run(async {
        let world = World::start().await;
        let _engine = world.plain("p1").await;
        let node = world.node("n1").await;
        assert_eq!(world.ask(&node, "/any/stock", "r1").await.status, 200);
        let mut settings = node.settings().clone();
        settings.bounds.key_age_ms = 0;
        node.reload(&settings);
        assert_eq!(world.ask(&node, "/any/stock", "r2").await.status, 503);
        settings.bounds.key_age_ms = KEY_AGE_MS;
        node.reload(&settings);
        assert_eq!(world.ask(&node, "/any/stock", "r3").await.status, 200);
    });
}

/// Replays processes that the store turned away for seconds, and an endpoint that leaves right after: those
/// that do not read for the others kept it until the next change of the list, and sent requests to it.
#[test]
fn endpoint_gone_after_outage_is_forgotten() {
    run(async {
        let world = World::start().await;
        let _kept = world.plain("p1").await;
        let _gone = world.plain("p2").await;
        let (first, first_switch) = world.node_turned_away_at("n1", NodePlace::ZoneA, 660).await;
        let (second, second_switch) = world.node_turned_away_at("n2", NodePlace::ZoneA, 660).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        first_switch.set(true);
        second_switch.set(true);
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        first_switch.set(false);
        second_switch.set(false);
        tokio::time::sleep(Duration::from_millis(800)).await;
        world.store.remove("engines", "p2");
        let removed = Instant::now();
        for node in [&first, &second] {
            wait_for("the endpoint is forgotten", async || {
                world.knows_engines(node, 1).await
            })
            .await;
        }
        assert!(
            removed.elapsed() <= DRAINED,
            "after {:?}",
            removed.elapsed()
        );
    });
}

/// Replays an endpoint whose entry is removed seconds after one process, which another one had told of the
/// list all the while, reaches the store again: that process took its next own read for the first one after
/// an outage, and kept the endpoint for two seconds more (hunt, trouble-1, seed 1050068553095).
#[test]
fn endpoint_gone_after_process_was_turned_away_is_forgotten() {
    run(async {
        let world = World::start().await;
        let _kept = world.plain("p1").await;
        let _gone = world.plain("p2").await;
        let _reader = world.node_at_interval("n1", 660).await;
        let (node, switch) = world.node_turned_away_at("n2", NodePlace::ZoneB, 660).await;
        switch.set(true);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        switch.set(false);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        world.store.remove("engines", "p2");
        let removed = Instant::now();
        wait_for("the endpoint is forgotten", async || {
            world.knows_engines(&node, 1).await
        })
        .await;
        assert!(
            removed.elapsed() <= DRAINED,
            "after {:?}",
            removed.elapsed()
        );
    });
}

#[test]
fn metrics_are_served() {
    run(async {
        let world = World::start().await;
        let _engine = world.plain("p1").await;
        let node = world.node("n1").await;
        world.ask(&node, "/any/stock", "r1").await;
        let answer = world
            .get(node.settings().metrics_address, "/metrics", &[])
            .await;
        let text = String::from_utf8(answer.body).unwrap();
        for line in [
            "dandelionroad_requests_total{outcome=\"served\"} 1",
            "dandelionroad_config_version 1",
            "dandelionroad_whole_answer_ms_count 1",
        ] {
            assert!(text.contains(line), "{line} is missing in\n{text}");
        }
    });
}

/// Replays a host that lost power: its steady clock starts anew, and another process confirms with
/// stamps of the time before. They lie in the future, and kept a withdrawn key in use for 6.4 s.
#[test]
fn key_is_refused_despite_stamps_of_earlier_run() {
    run(async {
        let world = World::start().await;
        let engine = world.plain("p1").await;
        let node = world.node("n1").await;
        assert_eq!(world.ask(&node, "/any/stock", "r1").await.status, 200);
        world.store.is_silent.set(true);
        let silent = Instant::now();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let message = PeerDatagram::Confirm(ConfirmMessage {
            run: 7,
            config: 1,
            config_stamp: u64::MAX / 2,
            listing: 0,
            listing_stamp: u64::MAX / 2,
        });
        let bytes = message.encode().unwrap();
        wait_for("keys are refused", async || {
            socket
                .send_to(&bytes, node.settings().peer_address)
                .await
                .unwrap();
            world.ask(&node, "/any/stock", "r2").await.status == 503
        })
        .await;
        assert!(silent.elapsed() <= Duration::from_millis(KEY_AGE_MS + 200));
        drop(engine);
    });
}
