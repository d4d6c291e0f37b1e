//! Guards against runs that are started beside stalled ones although their request may have no further run, and
//! against what the choice of such a run costs the process and other requests.

mod relay_support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use dandelionroad_relay::node::RunningNode;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;

use crate::relay_support::ReadResponse;
use crate::relay_support::World;
use crate::relay_support::crash_engine::CrashEngine;
use crate::relay_support::fake_engine::CRASH_PATH;
use crate::relay_support::fake_engine::EVENTS;
use crate::relay_support::fake_engine::EngineFault;
use crate::relay_support::fake_engine::EngineSilence;
use crate::relay_support::fake_engine::FakeEngine;
use crate::relay_support::fake_engine::event_bytes;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::wait_for;

/// The part that crashes engines.
const FATAL_PART: &str = "bad0";

fn all_events() -> Vec<u8> {
    (1..=EVENTS).flat_map(event_bytes).collect()
}

fn silence(after_event: u64, millis: u64) -> Option<EngineSilence> {
    Some(EngineSilence {
        after_event,
        duration: Duration::from_millis(millis),
    })
}

/// Sends a request with further headers, and reads the whole response.
async fn send_with(
    world: &World,
    node: &RunningNode,
    path: &str,
    id: &str,
    further: &[(&str, &str)],
) -> ReadResponse {
    let mut headers = vec![("host", "shop.example"), ("key", "k1"), ("request", id)];
    headers.extend(further);
    let address = node.settings().caller_address;
    world.get(address, path, &headers).await
}

/// Does the same in a task of its own, and waits until the engine runs the request.
async fn begin_at(
    engine: &FakeEngine,
    world: &Rc<World>,
    node: &Rc<RunningNode>,
    path: &'static str,
    further: &'static [(&'static str, &'static str)],
) -> JoinHandle<ReadResponse> {
    let (world, node) = (Rc::clone(world), Rc::clone(node));
    let sent = spawn_local(async move { send_with(&world, &node, path, "r1", further).await });
    wait_for("the request is at its first engine", async || {
        !engine.runs.borrow().is_empty()
    })
    .await;
    sent
}

/// Returns the longest time for which no task of the thread ran.
fn watch_thread() -> Rc<Cell<Duration>> {
    let longest: Rc<Cell<Duration>> = Rc::default();
    let found = Rc::clone(&longest);
    spawn_local(async move {
        loop {
            let start = Instant::now();
            tokio::time::sleep(Duration::from_millis(10)).await;
            found.set(found.get().max(start.elapsed()));
        }
    });
    longest
}

/// A stalled request is found to crash engines, as equal ones have crashed two. Guards against a process that asks for
/// another run of it without end, which blocks all other requests until the deadline, and against a further crash.
#[test]
fn stalled_crasher_does_not_block_process() {
    run(async {
        let world = Rc::new(World::start().await);
        let silent = world.start_engine("e1", (0, 40)).await;
        silent.silence.set(silence(8, 1_500));
        let node = Rc::new(world.start_node("n1").await);
        // An event each 200 ms, which is no stall.
        let slow = &[("work", "2400")];
        let sent = begin_at(&silent, &world, &node, CRASH_PATH, slow).await;
        silent.list(true);
        for id in ["e2", "e3"] {
            let engine = world.start_engine(id, (0, 40)).await;
            engine.fault.set(EngineFault::Crashing);
        }
        wait_for("both engines are listed", async || {
            world.knows_engines(&node, 2).await
        })
        .await;
        let equal = send_with(&world, &node, CRASH_PATH, "r2", slow).await;
        assert_eq!(equal.status, 502, "{equal:?}");
        wait_for("both crashes are known", async || {
            let line = "dandelionroad_engine_crashes_known 2";
            world.has_metric_line(&node, line).await
        })
        .await;
        let other = world.start_engine("e4", (0, 40)).await;
        let longest = watch_thread();
        let answer = sent.await.unwrap();
        assert!(
            longest.get() < Duration::from_secs(3),
            "the process was blocked for {:?}",
            longest.get()
        );
        assert_eq!(other.runs.borrow().len(), 0, "runs at a further engine");
        assert!(answer.is_complete, "{answer:?}");
        assert_eq!(answer.body, all_events());
    });
}

/// A stalled run fails during the pause before another run is started beside it. Guards against a pause that goes on
/// without that run: the request is then at one more engine than its route allows, beside a sound one.
#[test]
fn pause_ends_with_stalled_run() {
    for silence_ms in [430, 460, 490] {
        run(async {
            let world = Rc::new(World::start().await);
            let crashing = world.start_engine("e0", (0, 40)).await;
            crashing.fault.set(EngineFault::Crashing);
            let node = Rc::new(world.start_node("n1").await);
            let fatal = [("parts", "f1,bad0,own0")];
            let crashed = send_with(&world, &node, CRASH_PATH, "r0", &fatal).await;
            assert_eq!(crashed.status, 502, "{crashed:?}");
            wait_for("the crash is known", async || {
                let line = "dandelionroad_engine_crashes_known 1";
                world.has_metric_line(&node, line).await
            })
            .await;
            // The run counts as stalled after 400 ms, and the pause for a suspected part takes 100 ms.
            let lost = world.start_engine("e1", (0, 40)).await;
            lost.silence.set(silence(0, silence_ms));
            lost.fault.set(EngineFault::LostAnswer);
            wait_for("the engine is listed", async || {
                world.knows_engines(&node, 1).await
            })
            .await;
            let suspected = &[("parts", "f1,bad0,own1")];
            let sent = begin_at(&lost, &world, &node, "/model/a", suspected).await;
            let others = [
                world.start_engine("e2", (0, 40)).await,
                world.start_engine("e3", (0, 40)).await,
            ];
            let answer = sent.await.unwrap();
            let runs = others.iter().map(|engine| engine.runs.borrow().len());
            assert_eq!(runs.sum::<usize>(), 1, "runs after {silence_ms} ms");
            assert!(answer.is_complete, "{answer:?}");
            assert_eq!(answer.body, all_events());
        });
    }
}

/// A request has begun to answer at a stalled engine and waits at a second one when a part of its prompt is refused.
/// Guards against leaving the second engine to begin with the part, which crashes it.
#[test]
fn refused_part_ends_second_run() {
    run(async {
        let world = Rc::new(World::start().await);
        let first = world.start_engine("e1", (0, 40)).await;
        first.silence.set(silence(1, 5_000));
        let node = Rc::new(world.start_node("n1").await);
        let parts = &[("parts", "f1,bad0,own1")];
        let sent = begin_at(&first, &world, &node, "/model/a", parts).await;
        let second = world.start_engine("e2", (0, 40)).await;
        second.silence.set(silence(0, 4_000));
        wait_for("the request is at the second engine", async || {
            !second.runs.borrow().is_empty()
        })
        .await;
        for engine in [&first, &second] {
            engine.list(true);
        }
        let log = Rc::default();
        for id in ["e3", "e4"] {
            CrashEngine::start(&world.store, id, FATAL_PART, &log).await;
        }
        wait_for("the crashing engines are listed", async || {
            world.knows_engines(&node, 2).await
        })
        .await;
        let fatal = [("parts", "f2,bad0,own2")];
        send_with(&world, &node, "/model/b", "r2", &fatal).await;
        wait_for("the part is refused", async || {
            let line = "dandelionroad_prompt_parts_refused 1";
            world.has_metric_line(&node, line).await
        })
        .await;
        let answer = sent.await.unwrap();
        let name = "dandelionroad_failovers_total{outcome=\"taken-over\"} ";
        let taken_over = world.metric(&node, name).await;
        assert_eq!(taken_over, 0.0, "runs that went on with the part");
        assert!(answer.is_complete, "{answer:?}");
        assert_eq!(answer.body, all_events());
    });
}

/// The only other chain of a stalled request crosses availability zones, and the request takes the crossing budget of
/// a second. Guards against a search that charges the budget, so that neither this request nor another one may cross.
#[test]
fn search_leaves_crossing_budget() {
    run(async {
        let world = Rc::new(World::start().await);
        let silent = world.start_engine("e1", (0, 40)).await;
        silent.fault.set(EngineFault::Silent);
        let node = Rc::new(world.start_node("n1").await);
        let _peer = world.start_node("n2").await;
        wait_for("both processes are live", async || {
            let line = "dandelionroad_processes_live 2";
            world.has_metric_line(&node, line).await
        })
        .await;
        let long = &[("tokens", "9000")];
        let sent = begin_at(&silent, &world, &node, "/model/a", long).await;
        // Under other names than their own, the engines turn placement orders away.
        for (name, zone, first, end) in [("e2", "a", 0, 20), ("e3", "b", 20, 40)] {
            let half = world.start_engine("half", (first, end)).await;
            world.store.remove("engines", "half");
            let doc = json!({
                "service": MODEL_SERVICE, "address": half.address().to_string(), "zone": zone,
                "draining": false, "first": first, "end": end,
            });
            world.store.put("engines", name, &doc);
        }
        let answer = sent.await.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(answer.is_complete, "{answer:?}");
        assert_eq!(answer.body, all_events());
    });
}
