//! Guards against answers that have neither a length nor chunks, end with their connection, and reach the caller
//! as complete although they broke off.

mod relay_support;

use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::relay_support::World;
use crate::relay_support::fake_engine::EVENTS;
use crate::relay_support::fake_engine::event_bytes;
use crate::relay_support::read_head;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::test_wire::PLAIN_SERVICE;
use crate::relay_support::wait_for;

/// How an engine ends the connection of an answer.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Closed,
    Reset,
}

/// Starts an engine that sends a body without a length and ends the connection.
async fn start_unframed(
    world: &World,
    id: &str,
    service: &str,
    body: &'static [u8],
    end: ConnectionEnd,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let doc = json!({
        "service": service, "address": listener.local_addr().unwrap().to_string(),
        "draining": false, "first": 0, "end": if service == MODEL_SERVICE { 40 } else { 0 },
    });
    world.store.put("engines", id, &doc);
    spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            spawn_local(answer(stream, body, end));
        }
    });
}

async fn answer(mut stream: TcpStream, body: &[u8], end: ConnectionEnd) {
    let head = read_head(&mut stream).await;
    let id = head.lines().find_map(|line| line.strip_prefix("request: "));
    let id = id.unwrap_or_default();
    let start = format!("HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: u1\r\n\r\n");
    // The relay may close the connection first.
    let _ = stream.write_all(start.as_bytes()).await;
    let _ = stream.write_all(body).await;
    if matches!(end, ConnectionEnd::Reset) {
        // The body arrives before the reset.
        tokio::time::sleep(Duration::from_millis(20)).await;
        stream.set_zero_linger().unwrap();
    }
}

fn all_events() -> Vec<u8> {
    (1..=EVENTS).flat_map(event_bytes).collect()
}

/// Guards against cutting a whole stream whose end is that of its connection.
#[test]
fn stream_complete_with_connection() {
    run(async {
        let world = World::start().await;
        let body: &'static [u8] = all_events().leak();
        start_unframed(&world, "u1", MODEL_SERVICE, body, ConnectionEnd::Closed).await;
        let node = world.start_node("n1").await;
        let answer = world.send(&node, "/model/a", "r1").await;
        assert_eq!(answer.status, 200);
        assert!(answer.is_complete);
        assert_eq!(answer.body, all_events());
    });
}

/// Guards against a stream that is run and not answered because its engine ends lines with CRLF or CR.
#[test]
fn stream_with_other_line_ends() {
    for end in ["\r\n", "\r"] {
        run(async {
            let world = World::start().await;
            let body = String::from_utf8(all_events()).unwrap().replace('\n', end);
            let body: &'static str = body.leak();
            start_unframed(
                &world,
                "u1",
                MODEL_SERVICE,
                body.as_bytes(),
                ConnectionEnd::Closed,
            )
            .await;
            let node = world.start_node("n1").await;
            let answer = world.send(&node, "/model/a", "r1").await;
            assert_eq!(answer.status, 200, "{end:?}");
            assert!(answer.is_complete, "{end:?}");
            assert_eq!(answer.body, body.as_bytes(), "{end:?}");
        });
    }
}

/// The connection ends inside an event, before the first one, or with a reset between two. Guards against an
/// answer that looks complete to the caller.
#[test]
fn stream_broken_with_connection() {
    let events: Vec<u8> = (1..=3).flat_map(event_bytes).collect();
    let events: &'static [u8] = events.leak();
    let cases: [(&'static [u8], ConnectionEnd); 4] = [
        (&events[..events.len() - 1], ConnectionEnd::Closed),
        (&events[..5], ConnectionEnd::Closed),
        (b"", ConnectionEnd::Closed),
        (events, ConnectionEnd::Reset),
    ];
    for (body, end) in cases {
        run(async {
            let world = World::start().await;
            start_unframed(&world, "u1", MODEL_SERVICE, body, end).await;
            let node = world.start_node("n1").await;
            let alone = world.send(&node, "/model/a", "r1").await;
            let is_success = alone.status == 200 && alone.is_complete;
            assert!(!is_success, "{} bytes, {end:?}: {alone:?}", body.len());
            // Another engine continues the stream.
            world.start_engine("e2", (0, 40)).await;
            wait_for("the stream is served", async || {
                let answer = world.send(&node, "/model/b", "r2").await;
                answer.is_complete && answer.body == all_events()
            })
            .await;
        });
    }
}

/// Guards against losing a whole answer of a plain service that ends with its connection, and against passing on
/// one that was reset as complete.
#[test]
fn plain_answer_ends_with_connection() {
    for (end, status) in [(ConnectionEnd::Closed, 200), (ConnectionEnd::Reset, 502)] {
        run(async {
            let world = Rc::new(World::start().await);
            start_unframed(&world, "u1", PLAIN_SERVICE, b"booked", end).await;
            let node = world.start_node("n1").await;
            let answer = world.send(&node, "/once/a", "r1").await;
            assert_eq!(answer.status, status, "{end:?}");
            assert!(answer.is_complete);
            let is_body = answer.body == b"booked";
            assert_eq!(is_body, status == 200, "{end:?}");
        });
    }
}
