//! Guards against answers that end because a sound engine fell silent for a while: its run must go on until
//! another run has taken its place.

mod relay_support;

use std::rc::Rc;
use std::time::Duration;

use crate::relay_support::World;
use crate::relay_support::fake_engine::EVENTS;
use crate::relay_support::fake_engine::EngineFault;
use crate::relay_support::fake_engine::EngineSilence;
use crate::relay_support::fake_engine::FakeEngine;
use crate::relay_support::fake_engine::event_bytes;
use crate::relay_support::read;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;

/// The silence of a sound engine: longer than each time-out after which another chain is tried.
const SILENCE: Duration = Duration::from_millis(1_400);

fn all_events() -> Vec<u8> {
    (1..=EVENTS).flat_map(event_bytes).collect()
}

/// Starts two engines that hold the whole model; the first one is preferred, as the other is listed later.
async fn start_pair(world: &World) -> (Rc<FakeEngine>, Rc<FakeEngine>) {
    let sound = world.start_engine("e1", (0, 40)).await;
    let other = FakeEngine::start(&world.store, "e2", MODEL_SERVICE, (0, 0)).await;
    (sound, other)
}

/// A sound engine falls silent within its answer, and the other engine turns the request away, breaks its answer off
/// or stays silent. Guards against an answer that is cut although its engine goes on.
#[test]
fn stream_goes_on_after_silence() {
    for fault in [
        EngineFault::Full,
        EngineFault::LostAnswer,
        EngineFault::Failing,
        EngineFault::Foreign,
        EngineFault::Silent,
    ] {
        run(async {
            let world = World::start().await;
            let (sound, other) = start_pair(&world).await;
            sound.silence.set(Some(EngineSilence {
                after_event: 4,
                duration: SILENCE,
            }));
            other.fault.set(fault);
            let node = world.start_node("n1").await;
            let response = world.open(&node, "/model/a", "r1").await;
            other.hold_layers((0, 40));
            let answer = read(response).await;
            assert!(answer.is_complete, "{fault:?}");
            assert_eq!(answer.body, all_events(), "{fault:?}");
            assert_eq!(sound.runs.borrow().as_slice(), ["r1"], "{fault:?}");
        });
    }
}

/// The same before the first event: guards against a refusal, or an error, for a request that its engine serves
/// well before the deadline.
#[test]
fn stream_begins_after_silence() {
    for fault in [
        EngineFault::Full,
        EngineFault::LostAnswer,
        EngineFault::Failing,
        EngineFault::Foreign,
        EngineFault::Silent,
    ] {
        run(async {
            let world = World::start().await;
            let (sound, other) = start_pair(&world).await;
            sound.silence.set(Some(EngineSilence {
                after_event: 0,
                duration: SILENCE,
            }));
            other.fault.set(fault);
            let node = world.start_node("n1").await;
            let (answer, ()) = tokio::join!(world.send(&node, "/model/a", "r1"), async {
                tokio::time::sleep(Duration::from_millis(50)).await;
                other.hold_layers((0, 40));
            });
            assert_eq!(answer.status, 200, "{fault:?}");
            assert!(answer.is_complete, "{fault:?}");
            assert_eq!(answer.body, all_events(), "{fault:?}");
            assert_eq!(sound.runs.borrow().as_slice(), ["r1"], "{fault:?}");
        });
    }
}

/// A call that may be repeated is at an endpoint that falls silent, and the other endpoint turns it away or loses its
/// answer. Guards against an error for a call that its first endpoint answers before the deadline.
#[test]
fn call_is_answered_after_silence() {
    for fault in [
        EngineFault::Full,
        EngineFault::LostAnswer,
        EngineFault::Foreign,
        EngineFault::Failing,
        EngineFault::Silent,
    ] {
        run(async {
            let world = World::start().await;
            let sound = world.start_endpoint("p1").await;
            sound.silence.set(Some(EngineSilence {
                after_event: 0,
                duration: Duration::from_millis(1_200),
            }));
            let node = world.start_node("n1").await;
            let headers = [
                ("host", "shop.example"),
                ("key", "k1"),
                ("request", "r1"),
                ("wait", "2000"),
            ];
            let (answer, _other) = tokio::join!(
                world.get(node.settings().caller_address, "/any/stock", &headers),
                async {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    let other = world.start_endpoint("p2").await;
                    other.fault.set(fault);
                    other
                }
            );
            assert_eq!(answer.status, 200, "{fault:?}");
            assert_eq!(answer.headers["signature"], "p1", "{fault:?}");
        });
    }
}

/// Without event identifiers, another run can't continue the stream. Guards against a silent run that is given up all
/// the same, which cuts the stream.
#[test]
fn stream_without_identifiers_goes_on_after_silence() {
    run(async {
        let world = World::start().await;
        let (sound, other) = start_pair(&world).await;
        sound.fault.set(EngineFault::CutUnnumbered);
        sound.silence.set(Some(EngineSilence {
            after_event: 3,
            duration: SILENCE,
        }));
        let node = world.start_node("n1").await;
        let response = world.open(&node, "/model/a", "r1").await;
        other.hold_layers((0, 40));
        let answer = read(response).await;
        // The engine cuts the stream after its fifth event.
        assert_eq!(answer.body, b"data: token\n\n".repeat(5));
        assert!(other.runs.borrow().is_empty());
    });
}

/// All engines fall silent in turn. Guards against a request that is at more engines than its route allows, and
/// against one that is cut because none of them is left to try.
#[test]
fn stream_stays_within_attempts_of_route() {
    run(async {
        let world = World::start().await;
        let mut engines = Vec::new();
        for number in 0..5 {
            let engine = world.start_engine(&format!("e{number}"), (0, 40)).await;
            engine.silence.set(Some(EngineSilence {
                after_event: 4,
                duration: SILENCE,
            }));
            engines.push(engine);
        }
        let node = world.start_node("n1").await;
        for request in 0..4 {
            let id = format!("r{request}");
            let answer = world.send(&node, "/model/a", &id).await;
            assert!(answer.is_complete, "{id}");
            assert_eq!(answer.body, all_events(), "{id}");
            let of_request = |engine: &Rc<FakeEngine>| engine.runs.borrow().contains(&id);
            let count = engines.iter().filter(|engine| of_request(engine)).count();
            assert!(count <= 2, "{id} was at {count} engines");
        }
    });
}

/// Guards against an engine that is avoided for seconds after a silence of a second has ended.
#[test]
fn engine_is_used_again_after_silence() {
    run(async {
        let world = World::start().await;
        let engine = world.start_engine("e1", (0, 40)).await;
        engine.silence.set(Some(EngineSilence {
            after_event: 4,
            duration: SILENCE,
        }));
        let node = world.start_node("n1").await;
        let answer = world.send(&node, "/model/a", "r1").await;
        assert!(answer.is_complete);
        engine.silence.set(None);
        let answer = world.send(&node, "/model/a", "r2").await;
        assert_eq!(answer.status, 200);
        assert!(answer.is_complete);
    });
}
