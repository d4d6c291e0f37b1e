//! Guards against requests that crash engine after engine because their answers begin before the engines end, so
//! that the first event counts as a sign that the request is sound.

mod relay_support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_relay::node::RunningNode;

use crate::relay_support::ReadResponse;
use crate::relay_support::World;
use crate::relay_support::crash_engine::CrashEngine;
use crate::relay_support::crash_engine::CrashLog;
use crate::relay_support::crash_engine::FatalPrompt;
use crate::relay_support::run;

/// The number of engines; each serves all layers.
const ENGINES: usize = 24;

/// The number of requests that crash engines.
const REQUESTS: usize = 12;

/// The time from the end of one of these requests to the next, in which processes report the crash.
const REQUEST_PAUSE: Duration = Duration::from_millis(300);

const FATAL_PART: &str = "bad0";

/// Plays requests with a fatal prompt one after the other at two processes, each followed by a sound one.
///
/// Returns the number of engines that were lost.
async fn play(fatal: FatalPrompt, path: impl Fn(usize) -> String) -> usize {
    let world = World::start().await;
    let log: Rc<RefCell<CrashLog>> = Rc::default();
    for index in 0..ENGINES {
        CrashEngine::start_with(&world.store, &format!("e{index}"), fatal, &log).await;
    }
    let nodes = [world.start_node("n1").await, world.start_node("n2").await];
    for index in 0..REQUESTS {
        let node = &nodes[index % nodes.len()];
        let prompt = format!("f1,{},own", fatal.part);
        let answer = send(&world, node, &path(index), &format!("r{index}"), &prompt).await;
        assert!(answer.status != 200 || !answer.is_complete, "{answer:?}");
        tokio::time::sleep(REQUEST_PAUSE).await;
        let id = format!("sound{index}");
        let answer = send(&world, node, "/model/sound", &id, "f1,own").await;
        assert_eq!(answer.status, 200, "a sound request: {answer:?}");
        assert!(answer.is_complete, "a sound request");
    }
    log.borrow().crashes.len()
}

async fn send(
    world: &World,
    node: &RunningNode,
    path: &str,
    id: &str,
    prompt: &str,
) -> ReadResponse {
    let headers = [
        ("host", "shop.example"),
        ("key", "k1"),
        ("request", id),
        ("parts", prompt),
    ];
    world
        .get(node.settings().caller_address, path, &headers)
        .await
}

/// Equal requests whose engines crash right after the first event, as the repeats of one caller are.
#[test]
fn equal_requests_that_crash_after_first_event_are_refused() {
    run(async {
        let fatal = FatalPrompt {
            part: FATAL_PART,
            events: 1,
            pause: Duration::from_millis(30),
        };
        let crashes = play(fatal, |_| "/model/fatal".to_owned()).await;
        assert_eq!(crashes, 2);
    });
}

/// Requests that share only a part of their prompt, whose engines crash right after the first event.
#[test]
fn prompt_part_that_crashes_after_first_event_is_refused() {
    run(async {
        let fatal = FatalPrompt {
            part: FATAL_PART,
            events: 1,
            pause: Duration::from_millis(30),
        };
        let crashes = play(fatal, |index| format!("/model/fatal{index}")).await;
        assert_eq!(crashes, 2);
    });
}

/// Equal requests that come right behind each other. Guards against admitting the next one before it is known that the
/// last one crashed its engine, which stays listed for some time.
#[test]
fn equal_requests_without_pause_that_crash_late_are_refused() {
    run(async {
        let world = World::start().await;
        let log: Rc<RefCell<CrashLog>> = Rc::default();
        let fatal = FatalPrompt {
            part: FATAL_PART,
            events: 4,
            pause: Duration::from_millis(200),
        };
        for index in 0..ENGINES {
            CrashEngine::start_with(&world.store, &format!("e{index}"), fatal, &log).await;
        }
        let node = world.start_node("n1").await;
        for index in 0..REQUESTS {
            let id = format!("r{index}");
            let answer = send(&world, &node, "/model/fatal", &id, "f1,bad0,own").await;
            assert!(answer.status != 200 || !answer.is_complete, "{answer:?}");
        }
        let crashes = log.borrow().crashes.len();
        assert!(crashes <= 4, "{crashes} engines were lost");
    });
}

/// Equal requests whose engines crash when the answer has been under way for some time. Sound requests lose engines
/// in this way as well, so it takes more of them.
#[test]
fn equal_requests_that_crash_late_are_refused() {
    run(async {
        let fatal = FatalPrompt {
            part: FATAL_PART,
            events: 4,
            pause: Duration::from_millis(200),
        };
        let crashes = play(fatal, |_| "/model/fatal".to_owned()).await;
        assert!(crashes <= 4, "{crashes} engines were lost");
    });
}
