//! Guards against revoked keys that stay in use, also while the store can't be reached, and against calls to
//! the store that grow with the number of processes.

mod relay_support;

use std::time::Duration;
use std::time::Instant;

use dandelionroad_core::relay::StoreVersion;
use dandelionroad_relay::peer::ConfirmMessage;
use dandelionroad_relay::peer::PeerDatagram;
use tokio::net::UdpSocket;

use crate::relay_support::KEY_AGE_MS;
use crate::relay_support::World;
use crate::relay_support::run;
use crate::relay_support::wait_for;

/// A revoked key must be refused by all processes, also if an older configuration is read later.
#[test]
fn key_revoked_is_refused() {
    run(async {
        let world = World::start().await;
        let engine = world.start_endpoint("p1").await;
        let nodes = [world.start_node("n1").await, world.start_node("n2").await];
        for node in &nodes {
            assert_eq!(world.send(node, "/any/stock", "r1").await.status, 200);
        }
        world.configure(7, &["k2"]);
        for node in &nodes {
            wait_for("the key is refused", async || {
                world.send(node, "/any/stock", "r2").await.status == 401
            })
            .await;
        }
        let runs = engine.runs.borrow().len();
        // An older configuration that is read later must not be adopted.
        world.configure(3, &["k1"]);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(world.send(&nodes[0], "/any/stock", "r3").await.status, 401);
        assert_eq!(engine.runs.borrow().len(), runs);
    });
}

/// While the store hangs, keys may be revoked unnoticed: none may be accepted beyond the maximum age.
#[test]
fn key_is_refused_when_store_hangs() {
    run(async {
        let world = World::start().await;
        let engine = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        assert_eq!(world.send(&node, "/any/stock", "r1").await.status, 200);
        world.store.is_hanging.set(true);
        let hang_start = Instant::now();
        wait_for("keys are refused", async || {
            world.send(&node, "/any/stock", "r2").await.status == 503
        })
        .await;
        assert!(hang_start.elapsed() <= Duration::from_millis(KEY_AGE_MS + 200));
        let runs = engine.runs.borrow().len();
        let answer = world.send(&node, "/any/stock", "r3").await;
        assert!(answer.headers.contains_key("retry-after"));
        // While the configuration may be out of date, nothing is denied by it either.
        assert_eq!(world.send(&node, "/no/x", "r4").await.status, 503);
        assert_eq!(engine.runs.borrow().len(), runs);
        world.store.is_hanging.set(false);
        wait_for("keys are accepted again", async || {
            world.send(&node, "/any/stock", "r5").await.status == 200
        })
        .await;
    });
}

/// The store rejects the only process for so long that it refuses keys. Once the store answers again, the process must
/// accept them after its retry pause, and not only at the end of a long poll of 600 ms for changes since the read before
/// the outage.
#[test]
fn key_is_accepted_at_once_after_outage() {
    run(async {
        let world = World::start().await;
        let _endpoint = world.start_endpoint("p1").await;
        let (node, is_rejected) = world.node_with_switch("n1").await;
        let mut slowest = Duration::ZERO;
        for round in 0..3 {
            is_rejected.set(true);
            wait_for("keys are refused", async || {
                world.send(&node, "/any/stock", "r1").await.status == 503
            })
            .await;
            // The retries of the process are in another phase in each round.
            tokio::time::sleep(Duration::from_millis(60 * round)).await;
            is_rejected.set(false);
            let end = Instant::now();
            wait_for("keys are accepted again", async || {
                world.send(&node, "/any/stock", "r2").await.status == 200
            })
            .await;
            slowest = slowest.max(end.elapsed());
        }
        assert!(slowest < Duration::from_millis(500), "after {slowest:?}");
    });
}

/// The store rejects one host while keys and endpoints change. The process on that host must follow the
/// changes through another process, and accept valid keys all the while.
#[test]
fn rejected_process_follows_another() {
    run(async {
        let world = World::start().await;
        let old = world.start_endpoint("p1").await;
        let _reader = world.start_node("n1").await;
        let (node, is_rejected) = world.node_with_switch("n2").await;
        // The processes discover each other through the store.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        is_rejected.set(true);
        let rejection = Instant::now();
        world.configure(5, &["k1", "k3"]);
        let new = world.start_endpoint("p2").await;
        old.list(true);
        wait_for("only the new endpoint is used", async || {
            let before = old.runs.borrow().len();
            let status = world.send(&node, "/any/stock", "r1").await.status;
            status == 200 && old.runs.borrow().len() == before && !new.runs.borrow().is_empty()
        })
        .await;
        let duration = Duration::from_millis(2 * KEY_AGE_MS);
        while rejection.elapsed() < duration {
            assert_eq!(world.send(&node, "/any/stock", "r2").await.status, 200);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        world.configure(6, &["k3"]);
        wait_for("the key is refused", async || {
            world.send(&node, "/any/stock", "r3").await.status == 401
        })
        .await;
    });
}

/// The process that reads the store for both is rejected by the store right before a key is revoked, so the
/// other process gets neither the change nor further confirmations. The other process must notice this and
/// read the store itself, early enough for the change to be in force within two seconds.
#[test]
fn change_is_in_force_when_reader_is_rejected() {
    const IN_FORCE: Duration = Duration::from_millis(2_000);
    run(async {
        let world = World::start().await;
        let _engine = world.start_endpoint("p1").await;
        let (left, left_switch) = world.node_with_switch("n1").await;
        let (right, right_switch) = world.node_with_switch("n2").await;
        let is_left_first = left.settings().peer_address < right.settings().peer_address;
        let (switch, other) = match is_left_first {
            true => (left_switch, &right),
            false => (right_switch, &left),
        };
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let mut slowest = Duration::ZERO;
        for round in 0..5_u64 {
            world.configure(2 * round + 10, &["k1"]);
            wait_for("the key is accepted", async || {
                world.send(other, "/any/stock", "r1").await.status == 200
            })
            .await;
            tokio::time::sleep(Duration::from_millis(250 + 40 * round)).await;
            switch.set(true);
            // The reader's long poll may still be running when the switch is set.
            tokio::time::sleep(Duration::from_millis(20)).await;
            world.configure(2 * round + 11, &["k2"]);
            let changed = Instant::now();
            wait_for("the key is refused", async || {
                world.send(other, "/any/stock", "r2").await.status != 200
            })
            .await;
            slowest = slowest.max(changed.elapsed());
            switch.set(false);
        }
        assert!(slowest <= IN_FORCE, "in force after {slowest:?}");
    });
}

/// The operator writes the first configuration seconds after all processes have started. One of them must
/// wait for it at the store: the long polls of all would grow with the number of processes.
#[test]
fn first_configuration_is_polled_by_one_process() {
    run(async {
        let world = World::start_unconfigured().await;
        let _engine = world.start_endpoint("p1").await;
        let mut nodes = Vec::new();
        for index in 0..6 {
            nodes.push(world.start_unready_node(&format!("n{index}")).await);
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let before = world.store.config_reads.get();
        tokio::time::sleep(Duration::from_millis(6_000)).await;
        let calls = world.store.config_reads.get() - before;
        // One process polls 10 times, and each other one 3 times; if all poll, there are 60 calls.
        assert!(calls <= 30, "{calls} calls in six seconds");
        world.configure(1, &["k1"]);
        let configured = Instant::now();
        for node in &nodes {
            wait_for("the key is accepted", async || {
                world.send(node, "/any/stock", "r1").await.status == 200
            })
            .await;
        }
        assert!(configured.elapsed() <= Duration::from_millis(2_000));
    });
}

/// An outage must not multiply the calls: once, all processes retried several times a second each.
#[test]
fn outage_is_retried_by_few_processes() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_endpoint("p1").await;
        let mut nodes = Vec::new();
        let mut switches = Vec::new();
        for index in 0..6 {
            let (node, switch) = world.node_with_switch(&format!("n{index}")).await;
            nodes.push(node);
            switches.push(switch);
        }
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        switches.iter().for_each(|switch| switch.set(true));
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let before = world.rejected_calls.get();
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        let calls = world.rejected_calls.get() - before;
        // For two tables, the first process retries 32 times, the second 16 times and so on, 78 in all. Six
        // processes that retry like the first one make 192 calls.
        assert!(calls <= 100, "{calls} calls in four seconds");
        switches.iter().for_each(|switch| switch.set(false));
        for node in &nodes {
            wait_for("the key is accepted again", async || {
                world.send(node, "/any/stock", "r1").await.status == 200
            })
            .await;
        }
    });
}

/// A limit that the operator has lowered must take effect without a restart.
#[test]
fn key_age_reloaded_is_in_force() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        assert_eq!(world.send(&node, "/any/stock", "r1").await.status, 200);
        let mut settings = node.settings().clone();
        settings.bounds.key_age_ms = 0;
        node.reload(&settings);
        assert_eq!(world.send(&node, "/any/stock", "r2").await.status, 503);
        settings.bounds.key_age_ms = KEY_AGE_MS;
        node.reload(&settings);
        assert_eq!(world.send(&node, "/any/stock", "r3").await.status, 200);
    });
}

#[test]
fn metrics_are_served() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        world.send(&node, "/any/stock", "r1").await;
        let answer = world
            .get(node.settings().metrics_address, "/metrics", &[])
            .await;
        let text = String::from_utf8(answer.body).unwrap();
        for line in [
            "dandelionroad_requests_total{outcome=\"served\"} 1",
            "dandelionroad_config_version 1",
            "dandelionroad_whole_answer_ms_count 1",
            "# TYPE dandelionroad_listing_age_ms gauge",
        ] {
            assert!(text.contains(line), "{line} is missing in\n{text}");
        }
    });
}

/// After a power loss, a host's monotonic clock restarts from zero, while another process still sends
/// confirmations with timestamps from before. These lie in the future of the new clock and must be
/// ignored: they kept a revoked key in use for 6.4 s.
#[test]
fn key_is_refused_despite_stamps_of_earlier_run() {
    run(async {
        let world = World::start().await;
        let engine = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        assert_eq!(world.send(&node, "/any/stock", "r1").await.status, 200);
        world.store.is_hanging.set(true);
        let hang_start = Instant::now();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let message = PeerDatagram::Confirm(ConfirmMessage {
            run: 7,
            config: 1,
            config_stamp: u64::MAX / 2,
            listing: 0,
            listing_version: StoreVersion::UNREAD,
            listing_stamp: u64::MAX / 2,
            is_listing_whole: true,
            listing_grace_ms: 0,
        });
        let bytes = message.encode().unwrap();
        wait_for("keys are refused", async || {
            socket
                .send_to(&bytes, node.settings().peer_address)
                .await
                .unwrap();
            world.send(&node, "/any/stock", "r2").await.status == 503
        })
        .await;
        assert!(hang_start.elapsed() <= Duration::from_millis(KEY_AGE_MS + 200));
        drop(engine);
    });
}
