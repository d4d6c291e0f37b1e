//! Guards against requests behind another one on a connection that hide what happens to the connection, or are dropped
//! with it.

mod relay_support;

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use crate::relay_support::World;
use crate::relay_support::fake_engine::EngineSilence;
use crate::relay_support::read_head;
use crate::relay_support::run;
use crate::relay_support::wait_for;

/// The time that the stream takes, in milliseconds; longer than a stopping process admits new requests.
const WORK_MS: u64 = 4_500;

/// The length of the silence in which a caller leaves; its request must end within half of it.
const SILENCE: Duration = Duration::from_millis(4_000);

/// Sends a stream and a call behind it, and reads the head of the stream's answer.
async fn send_pair(stream: &mut TcpStream) {
    let request = |line: &str, id: &str| {
        format!(
            "{line} HTTP/1.1\r\nhost: shop.example\r\nkey: k1\r\nrequest: {id}\r\n\
             wait: 20000\r\nwork: {WORK_MS}\r\n\r\n"
        )
    };
    let pair = request("GET /model/a", "r1") + &request("GET /any/b", "r2");
    stream.write_all(pair.as_bytes()).await.unwrap();
    assert!(read_head(stream).await.starts_with("HTTP/1.1 200 "));
}

/// A process is told to stop while a stream runs and a call waits behind it. Guards against a call that is read and gets
/// neither an answer nor a refusal.
#[test]
fn stop_answers_request_behind_stream() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_engine("e1", (0, 40)).await;
        let _endpoint = world.start_endpoint("p1").await;
        let process = LocalSet::new();
        let node = process.run_until(world.start_node("n1")).await;
        let address = node.settings().caller_address;
        let caller = async {
            let mut stream = TcpStream::connect(address).await.unwrap();
            send_pair(&mut stream).await;
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.unwrap();
            String::from_utf8(rest).unwrap()
        };
        let stopping = process.run_until(async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            node.stop().await;
        });
        let (rest, ()) = tokio::join!(caller, stopping);
        assert!(rest.contains("token 12\n"), "the stream is whole: {rest}");
        assert!(
            rest.contains("HTTP/1.1 503 "),
            "the call is refused: {rest}"
        );
        assert!(rest.to_ascii_lowercase().contains("connection: close"));
    });
}

/// A caller leaves while its stream is silent and a call waits behind it. Guards against engines that go on with the
/// stream, as the end of the connection is not seen behind the bytes of the call.
#[test]
fn caller_with_request_behind_stream_leaves() {
    run(async {
        let world = World::start().await;
        let engine = world.start_engine("e1", (0, 40)).await;
        let _endpoint = world.start_endpoint("p1").await;
        engine.silence.set(Some(EngineSilence {
            after_event: 2,
            duration: SILENCE,
        }));
        let node = world.start_node("n1").await;
        let mut stream = TcpStream::connect(node.settings().caller_address)
            .await
            .unwrap();
        send_pair(&mut stream).await;
        assert!(world.metric(&node, "dandelionroad_requests_running ").await > 0.0);
        drop(stream);
        let ended = wait_for("the request ends", async || {
            world.metric(&node, "dandelionroad_requests_running ").await == 0.0
        });
        let ended = tokio::time::timeout(SILENCE / 4, ended).await;
        assert!(ended.is_ok(), "the request still runs");
    });
}
