//! Guards against a process whose memory grows with the number of callers of an engine that answers without end:
//! each answer is bounded, but their sum must be as well.

mod relay_support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_relay::node::RunningNode;
use tokio::task::JoinSet;

use crate::relay_support::World;
use crate::relay_support::raw_engine::RawAnswer;
use crate::relay_support::raw_engine::RawEngine;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::test_wire::PLAIN_SERVICE;

/// The callers of the flooding engine.
const CALLERS: usize = 40;

/// The maximum growth of the memory of the test's process, in KiB: four times the budget, for the buffers of the
/// connections and of the fake engines. Without a budget, the answers take [`CALLERS`] times 8 MiB.
const MAX_GROWTH_KIB: usize = 64 * 1_024;

/// The budget for incomplete events, in bytes: seven of them exceed it.
const PARTIAL_BUDGET_BYTES: usize = 1_400 * 1_024;

const FAILED_HEAD: &str = "HTTP/1.1 500 Failed\r\nrequest: {id}\r\n";

const SERVED_HEAD: &str = "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: p\r\n";

/// Returns the answer that begins with `head` and goes on without end, in chunks or with a length that it never
/// reaches.
fn flood(head: &str, is_chunked: bool) -> RawAnswer {
    let data = "x".repeat(64 * 1_024);
    let (framing, filler) = match is_chunked {
        true => (
            "transfer-encoding: chunked",
            format!("{:x}\r\n{data}\r\n", data.len()),
        ),
        false => ("content-length: 999999999999", data),
    };
    RawAnswer {
        start: format!("{head}{framing}\r\n\r\n").leak(),
        filler: filler.leak(),
        pause: Duration::from_millis(1),
    }
}

/// Returns a value of the kernel's account of this process, in KiB.
fn process_kib(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.unwrap().parse().unwrap()
}

/// Sends requests to a sound service, one after the other, until `done` is set; returns their number.
async fn serve_others(world: &World, node: &RunningNode, path: &str, done: &Cell<bool>) -> usize {
    let mut served = 0;
    while !done.get() || served < 5 {
        let response = world.send(node, path, &format!("sound-{served}")).await;
        assert_eq!(response.status, 200, "request {served} of another caller");
        assert!(response.is_complete);
        served += 1;
    }
    served
}

/// Floods a process with the answers to [`CALLERS`] requests for `path`, while `sound_path` is called; checks that its
/// memory stays bounded, and that a sound engine of the flooded service is then preferred.
async fn check_flood(world: &World, node: &RunningNode, path: &'static str, sound_path: &str) {
    let before = process_kib("VmRSS:");
    let done = Cell::new(false);
    let floods = async {
        let mut calls = JoinSet::new();
        for number in 0..CALLERS {
            let call = world.send_to(
                node.settings().caller_address,
                path,
                &format!("flooded-{number}"),
            );
            calls.spawn_local(call);
        }
        while let Some(status) = calls.join_next().await {
            let status = status.unwrap();
            assert!(status >= 500, "{status}");
        }
        done.set(true);
    };
    let peak = Cell::new(0);
    let watch = async {
        while !done.get() {
            peak.set(peak.get().max(process_kib("VmRSS:")));
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let others = serve_others(world, node, sound_path, &done);
    let ((), (), served) = tokio::join!(floods, watch, others);
    assert!(served >= 5);
    let growth = peak.get().saturating_sub(before);
    assert!(growth <= MAX_GROWTH_KIB, "memory grew by {growth} KiB");
}

/// An endpoint of a plain service answers 40 calls at once without end.
#[test]
fn endless_answers_of_endpoint_stay_within_budget() {
    for is_chunked in [true, false] {
        run(async {
            let world = World::start().await;
            let answer = flood(SERVED_HEAD, is_chunked);
            let _flooding =
                RawEngine::start(&world.store, "p1", PLAIN_SERVICE, (0, 0), answer).await;
            let _sound = world.start_engine("e1", (0, 40)).await;
            let node = world.start_node("n1").await;
            check_flood(&world, &node, "/once/book", "/model/a").await;
            check_avoided(&world, &node, "/once/book", async || {
                world.start_endpoint("p2").await
            })
            .await;
        });
    }
}

/// An engine of a model answers 40 requests at once with errors without end.
#[test]
fn endless_errors_of_engine_stay_within_budget() {
    for is_chunked in [true, false] {
        run(async {
            let world = World::start().await;
            let answer = flood(FAILED_HEAD, is_chunked);
            let _flooding =
                RawEngine::start(&world.store, "e1", MODEL_SERVICE, (0, 40), answer).await;
            let _sound = world.start_endpoint("p1").await;
            let node = world.start_node("n1").await;
            check_flood(&world, &node, "/model/a", "/any/stock").await;
            check_avoided(&world, &node, "/model/a", async || {
                world.start_engine("e2", (0, 40)).await
            })
            .await;
        });
    }
}

/// Starts a sound engine of the flooded service and checks that the flooding one is avoided.
async fn check_avoided<T>(
    world: &World,
    node: &RunningNode,
    path: &str,
    start: impl AsyncFnOnce() -> Rc<T>,
) {
    let _engine = start().await;
    relay_support::wait_for("only the sound engines are usable", async || {
        world.knows_engines(node, 2).await
    })
    .await;
    for number in 0..5 {
        let response = world.send(node, path, &format!("after-{number}")).await;
        assert_eq!(response.status, 200, "request {number} after the flood");
    }
}

/// The engine of a model sends events that don't end to many callers. Those beyond the budget must be given up before
/// they reach the limit of a single event.
#[test]
fn partial_events_stay_within_budget() {
    run(async {
        let world = World::start().await;
        let start = format!("{SERVED_HEAD}\r\nid: 1\ndata: {}", "x".repeat(200 * 1_024));
        let answer = RawAnswer {
            start: start.leak(),
            filler: "x",
            pause: Duration::from_millis(50),
        };
        let _flooding = RawEngine::start(&world.store, "e1", MODEL_SERVICE, (0, 40), answer).await;
        let node = world.start_node("n1").await;
        let mut settings = node.settings().clone();
        settings.bounds.memory_bytes = 6 * PARTIAL_BUDGET_BYTES;
        node.reload(&settings);
        let mut calls = JoinSet::new();
        for number in 0..10 {
            let address = node.settings().caller_address;
            calls.spawn_local(world.send_to(address, "/model/a", &format!("r{number}")));
        }
        let ended = "dandelionroad_streams_cut_total{cause=\"out of memory budget\"} ";
        relay_support::wait_for("events are given up", async || {
            world.metric(&node, ended).await >= 1.0
        })
        .await;
        let held = world.metric(&node, "dandelionroad_held_bytes ").await;
        assert!(held <= PARTIAL_BUDGET_BYTES as f64, "{held}");
    });
}
