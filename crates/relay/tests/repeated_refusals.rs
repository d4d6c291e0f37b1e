//! Guards against trusting a refusal that belongs to an earlier request, which a faulty engine writes once more on
//! a kept connection: callers would be told that a request has not run that an engine runs, or it would run twice.

mod relay_support;

use std::cell::Cell;
use std::rc::Rc;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::relay_support::World;
use crate::relay_support::fake_engine::EVENTS;
use crate::relay_support::fake_engine::EngineFault;
use crate::relay_support::fake_engine::FakeEngine;
use crate::relay_support::fake_engine::event_bytes;
use crate::relay_support::read_head;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::wait_for;

fn run_count(engines: &[Rc<FakeEngine>]) -> usize {
    let counts = engines.iter().map(|engine| engine.runs.borrow().len());
    counts.sum()
}

/// 503 would guarantee that the call has not run; and a second endpoint must not run it.
#[test]
fn foreign_refusal_of_at_most_once_call_is_no_refusal() {
    run(async {
        let world = World::start().await;
        let engines = [
            world.start_endpoint("p1").await,
            world.start_endpoint("p2").await,
        ];
        for engine in &engines {
            engine.fault.set(EngineFault::ForeignRefusal);
        }
        let node = world.start_node("n1").await;
        let answer = world.send(&node, "/once/book", "r1").await;
        assert_eq!(answer.status, 502);
        assert_eq!(run_count(&engines), 1);
    });
}

/// The request may be run again, but whoever asks last must not be told that it has not run.
#[test]
fn foreign_refusal_of_repeatable_request_is_no_refusal() {
    for path in ["/any/stock", "/model/a"] {
        run(async {
            let world = World::start().await;
            let engines = match path {
                "/any/stock" => [world.start_endpoint("p1").await],
                _ => [world.start_engine("e1", (0, 40)).await],
            };
            engines[0].fault.set(EngineFault::ForeignRefusal);
            let node = world.start_node("n1").await;
            let answer = world.send(&node, path, "r1").await;
            assert_eq!(answer.status, 502, "{path}");
            assert_eq!(run_count(&engines), 1, "{path}");
        });
    }
}

/// A refusal without an identifier may be an earlier one if it is not the first response on its connection.
#[test]
fn unnamed_refusal_on_kept_connection_is_no_refusal() {
    run(async {
        let world = World::start().await;
        let engine = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        let first = world.send(&node, "/any/stock", "r1").await;
        assert_eq!(first.status, 200);
        engine.fault.set(EngineFault::UnnamedRefusal);
        let second = world.send(&node, "/any/stock", "r2").await;
        assert_eq!(second.status, 502);
        assert_eq!(engine.runs.borrow().as_slice(), ["r1", "r2"]);
    });
}

/// The engine serves the next request, whose answer must not come from the connection of the foreign one.
#[test]
fn connection_of_foreign_response_is_not_used_again() {
    run(async {
        let world = World::start().await;
        let engine = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        engine.fault.set(EngineFault::ForeignRefusal);
        let first = world.send(&node, "/any/stock", "r1").await;
        assert_eq!(first.status, 502);
        engine.fault.set(EngineFault::UnnamedRefusal);
        // It is the first response on a connection, so the endpoint has not run the call.
        let second = world.send(&node, "/any/stock", "r2").await;
        assert_eq!(second.status, 503);
    });
}

/// What the connections of a [`start_repeating_head`] engine have in common.
#[derive(Default)]
struct HeadLog {
    /// The number of requests that it runs while it writes an earlier refusal.
    masked_runs: Cell<u32>,
    /// Whether it has refused a request.
    has_refused: Cell<bool>,
}

/// Starts the first engine of chains that end with one of `tails`. It refuses its first request because of that
/// engine, and writes this refusal once more for each further request on the same connection; on other
/// connections it serves.
async fn start_repeating_head(world: &World, tails: &[Rc<FakeEngine>; 2]) -> Rc<HeadLog> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let doc = json!({
        "service": MODEL_SERVICE, "address": listener.local_addr().unwrap().to_string(),
        "draining": false, "first": 0, "end": 20,
    });
    world.store.put("engines", "head", &doc);
    let log: Rc<HeadLog> = Rc::default();
    let own = Rc::clone(&log);
    let tails = [Rc::clone(&tails[0]), Rc::clone(&tails[1])];
    spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            spawn_local(serve_head(stream, tails.clone(), Rc::clone(&own)));
        }
    });
    log
}

async fn serve_head(mut stream: TcpStream, tails: [Rc<FakeEngine>; 2], log: Rc<HeadLog>) {
    let refuses = !log.has_refused.get();
    for number in 0.. {
        let head = read_head(&mut stream).await;
        let Some(id) = head.lines().find_map(|line| line.strip_prefix("request: ")) else {
            return;
        };
        let is_first_tail = head.lines().any(|line| line == "chain: head,t1");
        let fault = tails[usize::from(!is_first_tail)].address();
        let answer = match refuses {
            true => {
                log.has_refused.set(true);
                log.masked_runs.set(number);
                format!(
                    "HTTP/1.1 503 Full\r\nrequest: {id}\r\nnot-run: 1\r\nfault: {fault}\r\ncontent-length: 0\r\n\r\n"
                )
            }
            false => {
                let events: Vec<u8> = (1..=EVENTS).flat_map(event_bytes).collect();
                let events = String::from_utf8(events).unwrap();
                let length = events.len();
                format!(
                    "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: head\r\ncontent-length: {length}\r\n\r\n{events}"
                )
            }
        };
        // The relay may close the connection first.
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

/// Another engine of the chain was full, so the request goes to the same first engine again. Guards against
/// trusting a refusal there that names the request, but was written for its first send.
#[test]
fn request_is_not_sent_twice_on_one_connection() {
    run(async {
        let world = World::start().await;
        let tails = [
            world.start_engine("t1", (20, 40)).await,
            world.start_engine("t2", (20, 40)).await,
        ];
        let node = world.start_node("n1").await;
        let log = start_repeating_head(&world, &tails).await;
        wait_for("the head is known", async || {
            world.knows_engines(&node, 3).await
        })
        .await;
        let answer = world.send(&node, "/model/a", "r1").await;
        assert!(log.has_refused.get());
        assert_eq!(log.masked_runs.get(), 0);
        assert_eq!(answer.status, 200);
        assert!(answer.is_complete);
    });
}
