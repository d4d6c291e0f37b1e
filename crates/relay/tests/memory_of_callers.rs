//! Guards against callers whose bodies or unread answers together fill the memory of a process.

mod relay_support;

use std::time::Duration;

use dandelionroad_relay::node::RunningNode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::relay_support::World;
use crate::relay_support::raw_engine::RawAnswer;
use crate::relay_support::raw_engine::RawEngine;
use crate::relay_support::run;
use crate::relay_support::test_wire::PLAIN_SERVICE;
use crate::relay_support::wait_for;

/// A sixth of the memory that the test settings grant, in bytes.
const BUDGET_BYTES: f64 = 16.0 * 1_024.0 * 1_024.0;

/// The size of a body of a caller, in bytes; eight of them exceed the budget.
const BODY_BYTES: usize = 4_000_000;

/// The callers that don't read their answers.
const IDLE_READERS: usize = 12;

/// The size of an answer, in bytes; about a half fits into the buffers of a connection, and the rest of five exceeds
/// the budget.
const ANSWER_BYTES: usize = 8_000_000;

async fn send_head(node: &RunningNode, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(node.settings().caller_address)
        .await
        .unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Callers send large bodies and pause before the last byte. Those that exceed the budget must be refused as not run,
/// and the others must be served when they go on.
#[test]
fn bodies_of_callers_stay_within_budget() {
    run(async {
        let world = World::start().await;
        let endpoint = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        let mut streams = Vec::new();
        for number in 0..8 {
            let head = format!(
                "POST /once/book HTTP/1.1\r\nhost: shop.example\r\nkey: k1\r\nrequest: r{number}\r\n\
                 content-length: {BODY_BYTES}\r\n\r\n"
            );
            let mut stream = send_head(&node, &head).await;
            // The connection of a refused body is closed before it is whole.
            let _ = stream.write_all(&vec![b'x'; BODY_BYTES - 1]).await;
            assert!(world.metric(&node, "dandelionroad_held_bytes ").await <= BUDGET_BYTES);
            streams.push(stream);
        }
        let ended = "dandelionroad_buffers_ended_total{source=\"account\"} ";
        wait_for("the excess is refused", async || {
            world.metric(&node, ended).await >= 4.0
        })
        .await;
        assert!(endpoint.runs.borrow().is_empty());
        assert_eq!(world.send(&node, "/any/stock", "other").await.status, 200);
        let (mut served, mut refused) = (0, 0);
        for mut stream in streams {
            let _ = stream.write_all(b"x").await;
            let head = relay_support::read_head(&mut stream).await.to_lowercase();
            match head.starts_with("http/1.1 200 ") {
                true => served += 1,
                false => {
                    assert!(head.starts_with("http/1.1 503 "), "{head}");
                    assert!(head.contains("\r\nretry-after: "), "{head}");
                    refused += 1;
                }
            }
        }
        assert!(
            served >= 3 && refused >= 4,
            "{served} served, {refused} refused"
        );
        assert_eq!(endpoint.runs.borrow().len(), served + 1);
        wait_for("all is released", async || {
            world.metric(&node, "dandelionroad_held_bytes ").await == 0.0
        })
        .await;
    });
}

/// Callers don't read large answers. The answers that exceed the budget must be cut, without blame for the endpoint,
/// and a caller that reads must get the whole of its answer.
#[test]
fn unread_answers_stay_within_budget() {
    run(async {
        let world = World::start().await;
        let start = format!(
            "HTTP/1.1 200 OK\r\nrequest: {{id}}\r\nsignature: p\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n{}",
            "x".repeat(ANSWER_BYTES)
        );
        let answer = RawAnswer {
            start: start.leak(),
            filler: "x",
            pause: Duration::from_secs(1),
        };
        let _endpoint = RawEngine::start(&world.store, "p1", PLAIN_SERVICE, (0, 0), answer).await;
        let node = world.start_node("n1").await;
        let mut streams = Vec::new();
        for number in 0..IDLE_READERS {
            let head = format!(
                "GET /any/stock HTTP/1.1\r\nhost: shop.example\r\nkey: k1\r\nrequest: r{number}\r\n\r\n"
            );
            let mut stream = send_head(&node, &head).await;
            // The endpoint's answer is whole, and is written to the caller.
            stream.read_exact(&mut [0; 64]).await.unwrap();
            assert!(world.metric(&node, "dandelionroad_held_bytes ").await <= BUDGET_BYTES);
            streams.push(stream);
        }
        let ended = "dandelionroad_buffers_ended_total{source=\"account\"} ";
        assert!(world.metric(&node, ended).await >= 4.0);
        assert!(world.knows_engines(&node, 1).await);
        let other = world.send(&node, "/any/stock", "other").await;
        assert!(other.is_complete && other.body.len() == ANSWER_BYTES);
        let mut whole = 0;
        for mut stream in streams {
            let mut read = Vec::new();
            // Ended by the relay, which closes the connection; the last one is whole, and its connection stays open.
            let part = stream.read_to_end(&mut read);
            let _ = tokio::time::timeout(Duration::from_secs(1), part).await;
            whole += usize::from(read.len() >= ANSWER_BYTES);
        }
        let ended = world.metric(&node, ended).await as usize;
        assert!(
            whole + ended <= IDLE_READERS,
            "{ended} ended, {whole} look whole"
        );
        wait_for("all is released", async || {
            world.metric(&node, "dandelionroad_held_bytes ").await == 0.0
        })
        .await;
    });
}
