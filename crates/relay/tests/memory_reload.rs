//! Guards against requests in progress that are cut because the settings grant less memory.

mod relay_support;

use std::time::Duration;

use dandelionroad_relay::node::RelayBounds;
use dandelionroad_relay::node::RelaySettings;
use dandelionroad_relay::node::RunningNode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::relay_support::World;
use crate::relay_support::fake_engine::EngineSilence;
use crate::relay_support::run;
use crate::relay_support::wait_for;

/// The size of a large body, in bytes; the two of them exceed the lowered budget.
const BODY_BYTES: usize = 3_500_000;

/// The memory that the changed settings grant, in bytes: a sixth of it is less than the bodies of running requests.
const LOWERED_BYTES: usize = 24 * 1_024 * 1_024;

/// Opens a stream with a body of a length.
async fn send(node: &RunningNode, id: &str, length: usize) -> TcpStream {
    let address = node.settings().caller_address;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /model/x HTTP/1.1\r\nhost: shop.example\r\nkey: k1\r\nrequest: {id}\r\n\
         content-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; length]).await.unwrap();
    stream
}

/// Reads a response to the end of its chunks, or to where it breaks off.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    while !text.ends_with("\r\n0\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => {
                text.push_str(std::str::from_utf8(&buffer[..length]).unwrap());
            }
            _ => return format!("broke off: {text}"),
        }
    }
    text
}

/// Streams are in progress, some with large bodies, when the settings grant so little memory that these bodies exceed
/// the budget. All must end whole, and small requests must be served beside them (review, case 13).
#[test]
fn streams_outlast_lowered_memory() {
    run(async {
        let world = World::start().await;
        let engine = world.start_engine("e1", (0, 40)).await;
        engine.silence.set(Some(EngineSilence {
            after_event: 4,
            duration: Duration::from_millis(700),
        }));
        let node = world.start_node("n1").await;
        let mut streams = Vec::new();
        for (id, length) in [
            ("r1", BODY_BYTES),
            ("r2", BODY_BYTES),
            ("r3", 12),
            ("r4", 12),
        ] {
            streams.push(send(&node, id, length).await);
        }
        wait_for("all streams run", async || {
            engine.runs.borrow().len() == streams.len()
        })
        .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let settings = RelaySettings {
            bounds: RelayBounds {
                memory_bytes: LOWERED_BYTES,
                ..node.settings().bounds
            },
            ..node.settings().clone()
        };
        node.reload(&settings);
        streams.push(send(&node, "r5", 12).await);
        for stream in streams {
            let text = read_to_end(stream).await;
            assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
        }
        let line = "dandelionroad_buffers_ended_total{source=\"server\"} ";
        assert_eq!(world.metric(&node, line).await, 0.0);
    });
}
