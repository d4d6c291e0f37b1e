//! Guards against requests that share only a part of their prompt and crash each engine that starts to write
//! an answer on it, and against refusing sound requests that share the other parts.

mod relay_support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::task::spawn_local;

use crate::relay_support::World;
use crate::relay_support::crash_engine::CrashEngine;
use crate::relay_support::crash_engine::CrashLog;
use crate::relay_support::run;

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
    let nodes = [world.start_node("n1").await, world.start_node("n2").await];
    let mut sending = Vec::new();
    for index in 0..REQUESTS {
        let is_fatal = index >= FATAL_START && index % FATAL_PERIOD == 0;
        let first_part = format!("f{}", index % 3);
        let prompt = match is_fatal {
            true => format!("{first_part},{FATAL_PART},own{index}"),
            false => format!("{first_part},own{index}"),
        };
        let address = nodes[index % 2].settings().caller_address;
        let world = Rc::clone(&world);
        let sent = spawn_local(async move {
            let (path, id) = (format!("/model/{index}"), format!("r{index}"));
            let headers = [
                ("host", "shop.example"),
                ("key", "k1"),
                ("request", &id),
                ("parts", &prompt),
            ];
            let sent_at = Instant::now();
            let response = world.get(address, &path, &headers).await;
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
