//! Guards against answers that end because a sound engine fell silent for a while: its run must go on until
//! another run has taken its place.

mod relay_support;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::relay_support::World;
use crate::relay_support::fake_engine::EVENTS;
use crate::relay_support::fake_engine::EngineFault;
use crate::relay_support::fake_engine::EngineSilence;
use crate::relay_support::fake_engine::FakeEngine;
use crate::relay_support::fake_engine::event_bytes;
use crate::relay_support::read;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::wait_for;

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

/// An engine falls silent between its last event and the end of its answer. Guards against a stream that hangs, or
/// is cut, although another engine says that no event is left.
#[test]
fn stream_ends_at_other_engine_after_last_event() {
    run(async {
        let world = World::start().await;
        let (silent, other) = start_pair(&world).await;
        silent.silence.set(Some(EngineSilence {
            after_event: EVENTS,
            duration: Duration::from_secs(6),
        }));
        let node = world.start_node("n1").await;
        let start = Instant::now();
        let response = world.open(&node, "/model/a", "r1").await;
        other.hold_layers((0, 40));
        let answer = read(response).await;
        assert!(answer.is_complete);
        assert_eq!(answer.body, all_events());
        assert!(
            start.elapsed() < Duration::from_secs(3),
            "{:?}",
            start.elapsed()
        );
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

/// Sends a call with two seconds until its deadline to endpoints with these faults; returns the answer's status and
/// the number of runs.
async fn call_endpoints(path: &str, faults: &[EngineFault]) -> (u16, usize) {
    let world = World::start().await;
    let mut endpoints = Vec::new();
    for index in 0..faults.len() {
        endpoints.push(world.start_endpoint(&format!("p{index}")).await);
    }
    let node = world.start_node("n1").await;
    // The retry budget grows with the number of calls. Those that may run once leave no connections open, on which a
    // refusal without an identifier would not be trusted.
    for index in 0..10 {
        world.send(&node, "/once/book", &format!("s{index}")).await;
    }
    for (endpoint, fault) in endpoints.iter().zip(faults) {
        endpoint.fault.set(*fault);
        endpoint.runs.borrow_mut().clear();
    }
    let headers = [
        ("host", "shop.example"),
        ("key", "k1"),
        ("request", "r1"),
        ("wait", "2000"),
    ];
    let callers = node.settings().caller_address;
    let answer = world.get(callers, path, &headers).await;
    let runs = endpoints
        .iter()
        .map(|endpoint| endpoint.runs.borrow().len());
    (answer.status, runs.sum())
}

/// The first endpoint of a call hangs. Guards against a call that waits for it until the deadline although another
/// endpoint would answer.
#[test]
fn call_is_answered_beside_hanging_endpoint() {
    run(async {
        let world = World::start().await;
        let hanging = world.start_endpoint("p1").await;
        hanging.fault.set(EngineFault::Hanging);
        let node = world.start_node("n1").await;
        let (answer, _other) = tokio::join!(world.send(&node, "/any/stock", "r1"), async {
            wait_for("the call hangs", async || !hanging.runs.borrow().is_empty()).await;
            world.start_endpoint("p2").await
        });
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["signature"], "p2");
    });
}

/// Guards against a call that may run once and is sent to a second endpoint while the first one is silent.
#[test]
fn once_call_is_at_one_endpoint() {
    run(async {
        let silent = [EngineFault::Silent; 3];
        assert_eq!(call_endpoints("/once/book", &silent).await, (504, 1));
        // Endpoints that turn the call away have not run it.
        let faults = [
            EngineFault::Full,
            EngineFault::Full,
            EngineFault::Silent,
            EngineFault::Silent,
        ];
        assert_eq!(call_endpoints("/once/book", &faults).await, (504, 1));
    });
}

/// Guards against a call that is at more endpoints at once than its route allows, which are two.
#[test]
fn call_is_at_allowed_number_of_endpoints() {
    run(async {
        let silent = [EngineFault::Silent; 4];
        assert_eq!(call_endpoints("/any/stock", &silent).await, (504, 2));
        let faults = [
            EngineFault::Full,
            EngineFault::Silent,
            EngineFault::Silent,
            EngineFault::Silent,
        ];
        assert_eq!(call_endpoints("/any/stock", &faults).await, (504, 2));
    });
}

/// One endpoint answers with an error and the other one hangs. Guards against an error response that is lost because
/// the call waits for the other endpoint until its deadline.
#[test]
fn error_response_is_forwarded_before_deadline() {
    run(async {
        let faults = [EngineFault::Failing, EngineFault::Hanging];
        assert_eq!(call_endpoints("/any/stock", &faults).await, (500, 2));
    });
}
