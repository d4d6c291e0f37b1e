//! Guards against answers that are cut or held back, as they are passed on by the kind of the service and not by that of
//! the route.

mod relay_support;

use std::time::Duration;

use http_body_util::BodyExt;

use crate::relay_support::World;
use crate::relay_support::fake_engine::EVENTS;
use crate::relay_support::fake_engine::EngineFault;
use crate::relay_support::fake_engine::EngineSilence;
use crate::relay_support::fake_engine::event_bytes;
use crate::relay_support::run;

/// A route whose answers are no streams leads to the service with a model, which serves streams as well (review,
/// case 12).
#[test]
fn answer_in_one_piece_is_passed_on() {
    run(async {
        let world = World::start().await;
        let engine = world.start_engine("e1", (0, 40)).await;
        let node = world.start_node("n1").await;
        for request in ["r1", "r2"] {
            let answer = world.send(&node, "/letter/a", request).await;
            assert_eq!((answer.status, answer.is_complete), (200, true));
            assert_eq!(answer.body, b"done");
            assert!(answer.headers.contains_key("content-length"));
        }
        assert!(world.send(&node, "/model/a", "r3").await.is_complete);
        assert_eq!(engine.runs.borrow().as_slice(), ["r1", "r2", "r3"]);
    });
}

/// Such an answer breaks off. The request may have run, so it must not run again, and its caller must not get a part.
#[test]
fn answer_in_one_piece_breaks_off() {
    run(async {
        let world = World::start().await;
        let engines = [
            world.start_engine("e1", (0, 40)).await,
            world.start_engine("e2", (0, 40)).await,
        ];
        for engine in &engines {
            engine.fault.set(EngineFault::LostAnswer);
        }
        let node = world.start_node("n1").await;
        let answer = world.send(&node, "/letter/a", "r1").await;
        assert_eq!((answer.status, answer.is_complete), (502, true));
        let runs = engines.iter().map(|engine| engine.runs.borrow().len());
        assert_eq!(runs.sum::<usize>(), 1);
    });
}

/// A route with streams leads to a service without a model. Guards against events that are held back until the stream
/// ends; callers leave after two seconds without an event.
#[test]
fn stream_of_plain_service_is_passed_on_as_it_arrives() {
    run(async {
        let world = World::start().await;
        let endpoint = world.start_endpoint("p1").await;
        endpoint.silence.set(Some(EngineSilence {
            after_event: 4,
            duration: Duration::from_millis(1_000),
        }));
        let node = world.start_node("n1").await;
        let beginning = async {
            let mut response = world.open(&node, "/feed/a", "r1").await;
            let first = response.frame().await.unwrap().unwrap();
            (response, first.into_data().unwrap())
        };
        let beginning = tokio::time::timeout(Duration::from_millis(500), beginning).await;
        let (response, first) = beginning.expect("an event before the silence ends");
        let mut events = first.to_vec();
        events.extend_from_slice(&response.collect().await.unwrap().to_bytes());
        let all: Vec<u8> = (1..=EVENTS).flat_map(event_bytes).collect();
        assert_eq!(events, all);
        endpoint.silence.set(None);
        endpoint.fault.set(EngineFault::CutEvent);
        let cut = world.send(&node, "/feed/a", "r2").await;
        assert!(!cut.is_complete);
        let whole: Vec<u8> = (1..=4).flat_map(event_bytes).collect();
        assert_eq!(cut.body, whole);
    });
}

/// A stream of a plain service breaks off before its first event. Guards against an answer that is cut although another
/// endpoint can serve the request.
#[test]
fn stream_of_plain_service_is_retried_before_first_event() {
    run(async {
        let world = World::start().await;
        let endpoint = world.start_endpoint("p1").await;
        endpoint.fault.set(EngineFault::LostAnswer);
        world.start_endpoint("p2").await;
        let node = world.start_node("n1").await;
        for number in 0..6 {
            let answer = world.send(&node, "/feed/a", &format!("r{number}")).await;
            assert_eq!((answer.status, answer.is_complete), (200, true));
        }
        assert!(!endpoint.runs.borrow().is_empty(), "some began at p1");
    });
}
