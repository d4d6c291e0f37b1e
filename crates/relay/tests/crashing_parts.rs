//! Guards against requests that share only a part of their prompt and crash each engine that starts to write
//! an answer on it, and against refusing sound requests that share the other parts.

mod relay_support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use dandelionroad_relay::node::RunningNode;
use tokio::task::spawn_local;

use crate::relay_support::ReadResponse;
use crate::relay_support::World;
use crate::relay_support::crash_engine::CrashEngine;
use crate::relay_support::crash_engine::CrashLog;
use crate::relay_support::fake_engine::EngineFault;
use crate::relay_support::run;
use crate::relay_support::wait_for;

/// The part that crashes engines.
const FATAL_PART: &str = "bad0";

/// The number of engines; each serves all layers.
const ENGINES: usize = 12;

/// The crashes after which the requests with the part are limited.
const CRASH_LIMIT: usize = 5;

/// The time after the last of these crashes from which few requests may reach engines.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The number of requests that may reach engines after that time.
const MAX_LATE_ARRIVALS: usize = 3;

/// The time between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(20);

/// One request of this number has the fatal part, once these have begun.
const FATAL_PERIOD: usize = 7;

/// The request with which the fatal ones begin.
const FATAL_START: usize = 60;

/// The number of requests of a run, which lasts some nine seconds.
const REQUESTS: usize = 450;

/// The outcome of one request.
#[derive(Debug)]
struct SentRequest {
    sent_at: Instant,
    is_fatal: bool,
    is_served: bool,
    /// The status and the headers, for messages of failed tests.
    answer: String,
}

/// Requests that have nothing in common but one prompt part and a client account crash each engine that starts
/// to write an answer; they come at two processes, among sound requests with the same account and first
/// parts. Without counting crashes by part, each of them crashes up to two engines for as long as they come.
#[test]
fn requests_with_fatal_part_stop_reaching_engines() {
    run(async {
        let (log, requests) = play_fatal_part().await;
        let crashes = log.crashes.len();
        let limited = log.crashes.get(CRASH_LIMIT - 1).copied();
        let late = limited.map_or(0, |limited| {
            let arrivals = log.fatal_arrivals.iter();
            let late = arrivals.filter(|arrival| **arrival > limited + STABLE_WINDOW);
            late.count()
        });
        assert!(
            late <= MAX_LATE_ARRIVALS,
            "{late} requests with the part after crash {CRASH_LIMIT} and {STABLE_WINDOW:?}; {crashes} crashes"
        );
        let counted = limited.or(log.crashes.last().copied()).unwrap();
        let sound = requests
            .iter()
            .filter(|request| !request.is_fatal && request.sent_at > counted + 2 * STABLE_WINDOW);
        let sound: Vec<&SentRequest> = sound.collect();
        let served = sound.iter().filter(|request| request.is_served).count();
        assert!(sound.len() >= 20, "{} sound requests", sound.len());
        assert!(
            served * 2 >= sound.len(),
            "{served} of {} sound requests served; first other answer: {:?}",
            sound.len(),
            sound
                .iter()
                .find(|request| !request.is_served)
                .map(|request| &request.answer)
        );
    });
}

/// Sends sound requests to two processes, from some time on among requests with the fatal part.
async fn play_fatal_part() -> (CrashLog, Vec<SentRequest>) {
    let world = Rc::new(World::start().await);
    let log: Rc<RefCell<CrashLog>> = Rc::default();
    for index in 0..ENGINES {
        let id = format!("e{index}");
        CrashEngine::start(&world.store, &id, FATAL_PART, &log).await;
    }
    let nodes = [world.start_node("n1").await, world.start_node("n2").await].map(Rc::new);
    let mut sending = Vec::new();
    for index in 0..REQUESTS {
        let is_fatal = index >= FATAL_START && index % FATAL_PERIOD == 0;
        let first_part = format!("f{}", index % 3);
        let prompt = match is_fatal {
            true => format!("{first_part},{FATAL_PART},own{index}"),
            false => format!("{first_part},own{index}"),
        };
        let (world, node) = (Rc::clone(&world), Rc::clone(&nodes[index % 2]));
        let sent = spawn_local(async move {
            let sent_at = Instant::now();
            let response = send_prompt(&world, &node, &format!("r{index}"), &prompt).await;
            SentRequest {
                sent_at,
                is_fatal,
                is_served: response.status == 200 && response.is_complete,
                answer: format!("{} {:?}", response.status, response.headers),
            }
        });
        sending.push(sent);
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
    let mut requests = Vec::new();
    for sent in sending {
        requests.push(sent.await.unwrap());
    }
    (log.take(), requests)
}

/// Guards against a process that starts while requests with a fatal part come, and learns only from engines that
/// crash for it.
#[test]
fn started_process_refuses_fatal_part() {
    run(async {
        let world = World::start().await;
        let log: Rc<RefCell<CrashLog>> = Rc::default();
        for id in ["e1", "e2", "e3", "e4"] {
            CrashEngine::start(&world.store, id, FATAL_PART, &log).await;
        }
        let first = world.start_node("n1").await;
        send_prompt(&world, &first, "r1", "f1,bad0,own1").await;
        assert_eq!(log.borrow().crashes.len(), 2, "a lone request is retried");
        // The change itself is sent for two seconds.
        tokio::time::sleep(Duration::from_secs(4)).await;
        let second = world.start_node("n2").await;
        wait_for("the started process refuses the part", async || {
            let line = "dandelionroad_prompt_parts_refused 1";
            world.has_metric_line(&second, line).await
        })
        .await;
        let answer = send_prompt(&world, &second, "r2", "f2,bad0,own2").await;
        assert_eq!(answer.status, 503, "the request has not run");
        assert_eq!(answer.body, b"{\"error\":\"crasher\"}");
        assert!(!answer.headers.contains_key("retry-after"), "{answer:?}");
        let answer = send_prompt(&world, &second, "r3", "f1,own3").await;
        assert_eq!(answer.status, 200, "the first part is sound");
        assert_eq!(log.borrow().fatal_arrivals.len(), 2);
    });
}

/// Requests with a fatal part arrive at about the same time at several engines. Guards against leaving those
/// that have not begun to run, once the part is refused, to crash their engines as well.
#[test]
fn running_requests_with_fatal_part_are_stopped() {
    run(async {
        let world = Rc::new(World::start().await);
        let log: Rc<RefCell<CrashLog>> = Rc::default();
        for index in 0..30 {
            CrashEngine::start(&world.store, &format!("e{index}"), FATAL_PART, &log).await;
        }
        let node = Rc::new(world.start_node("n1").await);
        let mut sending = Vec::new();
        // Engines read a prompt for 40 ms: the first one crashes before the second request comes, and the second
        // one while six more requests are with engines.
        for index in 0..8 {
            let (world, node) = (Rc::clone(&world), Rc::clone(&node));
            sending.push(spawn_local(async move {
                let prompt = format!("f1,{FATAL_PART},own{index}");
                send_prompt(&world, &node, &format!("r{index}"), &prompt).await
            }));
            let pause_ms = if index == 0 { 58 } else { 6 };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        for sent in sending {
            let answer = sent.await.unwrap();
            let is_whole = answer.status == 200 && answer.is_complete;
            assert!(!is_whole, "no engine serves the part");
        }
        let log = log.borrow();
        let crashes = log.crashes.len();
        assert!(crashes <= CRASH_LIMIT, "{crashes} crashes");
    });
}

/// A request with a fatal part comes when another one has just crashed its engine. Guards against a third engine that is
/// lost because the first one is retried at once, or beside the second one.
#[test]
fn retry_with_suspected_part_waits_for_reports() {
    run(async {
        let world = Rc::new(World::start().await);
        let log: Rc<RefCell<CrashLog>> = Rc::default();
        for id in ["e1", "e2", "e3", "e4"] {
            CrashEngine::start(&world.store, id, FATAL_PART, &log).await;
        }
        let node = Rc::new(world.start_node("n1").await);
        let first = {
            let (world, node) = (Rc::clone(&world), Rc::clone(&node));
            spawn_local(async move { send_prompt(&world, &node, "r1", "f1,bad0,own1").await })
        };
        // Losses at the same time count once, so the second engine must not be lost right with the first one.
        wait_for("the first engine is lost", async || {
            !log.borrow().crashes.is_empty()
        })
        .await;
        let second = send_prompt(&world, &node, "r2", "f2,bad0,own2").await;
        assert!(!second.is_complete || second.status != 200);
        first.await.unwrap();
        let log = log.borrow();
        assert_eq!(log.fatal_arrivals.len(), 2, "{log:?}");
        assert_eq!(log.crashes.len(), 2, "{log:?}");
    });
}

/// Several requests with a fatal part crash their engines at the same time, which counts as one loss. Guards against
/// retries of all of them at the same time, each of which crashes another engine.
#[test]
fn retries_with_suspected_part_run_in_turn() {
    run(async {
        let world = Rc::new(World::start().await);
        let log: Rc<RefCell<CrashLog>> = Rc::default();
        let mut engines = Vec::new();
        for index in 0..8 {
            let id = format!("e{index}");
            engines.push(CrashEngine::start(&world.store, &id, FATAL_PART, &log).await);
        }
        let node = Rc::new(world.start_node("n1").await);
        let mut sending = Vec::new();
        for index in 0..2 {
            let (world, node) = (Rc::clone(&world), Rc::clone(&node));
            sending.push(spawn_local(async move {
                let prompt = format!("f{index},{FATAL_PART},own{index}");
                send_prompt(&world, &node, &format!("r{index}"), &prompt).await
            }));
        }
        wait_for("both requests are at engines", async || {
            log.borrow().fatal_arrivals.len() == 2
        })
        .await;
        for sent in sending {
            let answer = sent.await.unwrap();
            let is_whole = answer.status == 200 && answer.is_complete;
            assert!(!is_whole, "no engine serves the part");
        }
        let log = log.borrow();
        assert!(log.crashes.len() <= 3, "{log:?}");
    });
}

/// Guards against refusing sound requests whose runs are broken off by lost engines: none of their parts was
/// served before, and the engines were not lost because of them.
#[test]
fn sound_requests_are_served_after_lost_engines() {
    run(async {
        let world = Rc::new(World::start().await);
        let log: Rc<RefCell<CrashLog>> = Rc::default();
        let mut engines = Vec::new();
        for id in ["e0", "e1", "e2", "e3", "e4", "e5"] {
            engines.push(CrashEngine::start(&world.store, id, FATAL_PART, &log).await);
        }
        let node = Rc::new(world.start_node("n1").await);
        let mut sending = Vec::new();
        for index in 0..30 {
            let (world, node) = (Rc::clone(&world), Rc::clone(&node));
            let prompt = format!("f{},own{index}", index % 10);
            sending.push(spawn_local(async move {
                send_prompt(&world, &node, &format!("r{index}"), &prompt).await
            }));
            tokio::time::sleep(Duration::from_millis(3)).await;
            if index == 15 {
                engines[0].crash();
                engines[1].crash();
            }
        }
        for (index, sent) in sending.into_iter().enumerate() {
            let answer = sent.await.unwrap();
            assert_eq!(answer.status, 200, "r{index}");
            assert!(answer.is_complete, "r{index}");
        }
        assert_eq!(log.borrow().crashes.len(), 2);
    });
}

/// Two engines lose answers, and their registrations lapse and come back while they run on. Guards against refusing
/// the requests that they ran at that time as if these had crashed them.
#[test]
fn requests_of_engines_that_run_on_are_served() {
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let mut engines = Vec::new();
        for id in ["e1", "e2"] {
            let engine = world.start_engine(id, (0, 40)).await;
            wait_for("the engine is listed", async || {
                world.knows_engines(&node, 1).await
            })
            .await;
            engine.fault.set(EngineFault::LostAnswer);
            let answer = send_prompt(&world, &node, id, &format!("f1,own-{id}")).await;
            assert!(answer.status != 200 || !answer.is_complete, "{answer:?}");
            world.store.remove("engines", id);
            wait_for("the engine is not listed", async || {
                world.knows_engines(&node, 0).await
            })
            .await;
            engine.fault.set(EngineFault::None);
            engines.push(engine);
        }
        wait_for("the part is refused", async || {
            let line = "dandelionroad_prompt_parts_refused 1";
            world.has_metric_line(&node, line).await
        })
        .await;
        engines[1].list(false);
        wait_for("the engine is back", async || {
            world.knows_engines(&node, 1).await
        })
        .await;
        let other = send_prompt(&world, &node, "r3", "f2,own3").await;
        assert_eq!(other.status, 200, "another part: {other:?}");
        let answer = send_prompt(&world, &node, "r4", "f1,own4").await;
        assert_eq!(answer.status, 200, "the engine has not crashed: {answer:?}");
    });
}

async fn send_prompt(world: &World, node: &RunningNode, id: &str, prompt: &str) -> ReadResponse {
    let (path, address) = (format!("/model/{id}"), node.settings().caller_address);
    let headers = [
        ("host", "shop.example"),
        ("key", "k1"),
        ("request", id),
        ("parts", prompt),
    ];
    world.get(address, &path, &headers).await
}
