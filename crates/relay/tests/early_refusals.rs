//! Guards against refusals that are lost while the caller is still sending the body of its request.

mod relay_support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::relay_support::World;
use crate::relay_support::run;

/// The size of a body in the tests, in bytes.
const BODY_BYTES: usize = 262_144;

/// The number of writes in which a body is sent.
const PIECE_COUNT: usize = 8;

/// The pause between two writes.
const PAUSE: Duration = Duration::from_millis(20);

/// How a caller frames the body of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyFraming {
    Length,
    Chunked,
}

impl BodyFraming {
    fn header(self, length: usize) -> String {
        match self {
            BodyFraming::Length => format!("content-length: {length}"),
            BodyFraming::Chunked => "transfer-encoding: chunked".to_owned(),
        }
    }

    fn frame(self, piece: &[u8]) -> Vec<u8> {
        match self {
            BodyFraming::Length => piece.to_vec(),
            BodyFraming::Chunked => {
                [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
            }
        }
    }

    fn end(self) -> &'static [u8] {
        match self {
            BodyFraming::Length => b"",
            BodyFraming::Chunked => b"0\r\n\r\n",
        }
    }
}

/// Sends a request whose body arrives in pieces, and reads the answer after all was sent.
async fn post(
    stream: &mut TcpStream,
    target: &str,
    headers: &str,
    framing: BodyFraming,
    body_bytes: usize,
) -> Result<String, String> {
    let framing_header = framing.header(body_bytes);
    let head = format!("POST {target} HTTP/1.1\r\nhost: shop.example\r\n{headers}{framing_header}");
    let mut bytes = format!("{head}\r\n\r\n").into_bytes();
    let piece = vec![b'x'; body_bytes / PIECE_COUNT];
    for index in 0..PIECE_COUNT {
        bytes.extend(framing.frame(&piece));
        if let Err(error) = stream.write_all(&bytes).await {
            let answer = read_answer(stream).await;
            return Err(format!(
                "piece {index} isn't sent: {error}; then {answer:?}"
            ));
        }
        bytes.clear();
        tokio::time::sleep(PAUSE).await;
    }
    let sent = stream.write_all(framing.end()).await;
    sent.map_err(|error| format!("the end isn't sent: {error}"))?;
    read_answer(stream).await
}

/// Reads an answer whose body has a stated length.
async fn read_answer(stream: &mut TcpStream) -> Result<String, String> {
    let mut answer = Vec::new();
    let mut buffer = [0; 1_024];
    loop {
        let text = String::from_utf8_lossy(&answer).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1).unwrap_or("0");
            let length = length.lines().next().unwrap_or_default();
            if body.len() >= length.parse().unwrap() {
                return Ok(text);
            }
        }
        match stream.read(&mut buffer).await {
            Ok(0) => return Err(format!("closed after {text:?}")),
            Ok(length) => answer.extend_from_slice(&buffer[..length]),
            Err(error) => return Err(format!("{error} after {text:?}")),
        }
    }
}

/// Posts with both framings, twice on each connection, and checks each answer's status.
async fn check_refusals(
    callers: SocketAddr,
    target: &str,
    headers: &str,
    status: u16,
    body_bytes: usize,
) {
    for framing in [BodyFraming::Length, BodyFraming::Chunked] {
        let mut stream = TcpStream::connect(callers).await.unwrap();
        for request in ["first", "second"] {
            let answer = post(&mut stream, target, headers, framing, body_bytes).await;
            let is_refused = answer.as_ref().is_ok_and(|text| {
                let line = format!("http/1.1 {status} ");
                text.starts_with(&line) && text.ends_with('}')
            });
            assert!(is_refused, "{framing:?}, {request} request: {answer:?}");
        }
    }
}

/// Guards against a lost refusal of a request without a route.
#[test]
fn unknown_route_is_refused_during_body() {
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let callers = node.settings().caller_address;
        let headers = "key: k1\r\nrequest: r1\r\n";
        check_refusals(callers, "/none", headers, 404, BODY_BYTES).await;
    });
}

/// Guards against a lost refusal of a request with an unknown key.
#[test]
fn unknown_key_is_refused_during_body() {
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let callers = node.settings().caller_address;
        let headers = "key: k2\r\nrequest: r1\r\n";
        check_refusals(callers, "/any/stock", headers, 401, BODY_BYTES).await;
    });
}

/// Guards against a lost refusal of a request whose head the process can't decode.
#[test]
fn malformed_request_is_refused_during_body() {
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let callers = node.settings().caller_address;
        check_refusals(callers, "/any/stock", "key: k1\r\n", 400, BODY_BYTES).await;
    });
}

/// Guards against a lost refusal by a process that has no configuration yet.
#[test]
fn process_without_configuration_refuses_during_body() {
    run(async {
        let world = World::start_unconfigured().await;
        let node = world.start_unready_node("n1").await;
        let callers = node.settings().caller_address;
        let headers = "key: k1\r\nrequest: r1\r\n";
        check_refusals(callers, "/any/stock", headers, 503, BODY_BYTES).await;
    });
}

/// Guards against a lost refusal by a stopping process.
#[test]
fn stopping_process_refuses_during_body() {
    run(async {
        let world = World::start().await;
        let _engine = world.start_engine("e1", (0, 40)).await;
        let node = world.start_node("n1").await;
        let callers = node.settings().caller_address;
        let stopping = tokio::task::spawn_local(node.stop());
        tokio::time::sleep(Duration::from_millis(2_900)).await;
        let headers = "key: k1\r\nrequest: r1\r\n";
        for framing in [BodyFraming::Length, BodyFraming::Chunked] {
            let mut stream = TcpStream::connect(callers).await.unwrap();
            let answer = post(&mut stream, "/model/a", headers, framing, BODY_BYTES).await;
            let is_refused = answer
                .as_ref()
                .is_ok_and(|text| text.starts_with("http/1.1 503 ") && text.ends_with('}'));
            assert!(is_refused, "{framing:?}: {answer:?}");
        }
        stopping.await.unwrap();
    });
}

/// Guards against a lost refusal of a request whose body is larger than the limit.
#[test]
fn large_body_is_refused_during_body() {
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let callers = node.settings().caller_address;
        let headers = "key: k1\r\nrequest: r1\r\n";
        let body_bytes = 4_194_304 + BODY_BYTES;
        check_refusals(callers, "/any/stock", headers, 413, body_bytes).await;
    });
}

/// Guards against a lost refusal of a request whose body takes longer than its time-out.
#[test]
fn slow_body_is_refused_during_body() {
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let callers = node.settings().caller_address;
        let headers = "key: k1\r\nrequest: r1\r\nwait: 50\r\n";
        check_refusals(callers, "/any/stock", headers, 408, BODY_BYTES).await;
    });
}

/// Guards against callers that keep a connection busy after their refusal, with a body without end or a slow one.
#[test]
fn discarded_body_is_bounded() {
    run(async {
        let world = World::start().await;
        // Time-outs of 500 ms.
        let doc = json!({ "version": 1, "keys": ["k1"], "idle": 500 });
        world.store.put("config", "config", &doc);
        let node = world.start_node("n1").await;
        let callers = node.settings().caller_address;
        let head = "POST /none HTTP/1.1\r\nhost: shop.example\r\nkey: k1\r\nrequest: r1\r\n\
            transfer-encoding: chunked\r\n\r\n";
        for (size, pause_ms) in [(1, 50), (1_048_576, 0)] {
            let mut stream = TcpStream::connect(callers).await.unwrap();
            stream.write_all(head.as_bytes()).await.unwrap();
            let chunk = BodyFraming::Chunked.frame(&vec![b'x'; size]);
            let mut sent_bytes = 0;
            let send = async {
                while stream.write_all(&chunk).await.is_ok() {
                    sent_bytes += size;
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
            };
            let ended = tokio::time::timeout(Duration::from_secs(10), send).await;
            assert!(ended.is_ok(), "chunks of {size} bytes are sent without end");
            // The limit on bodies, and what the kernel's buffers hold.
            assert!(sent_bytes < 4 * 4_194_304, "{sent_bytes} bytes were sent");
        }
    });
}

/// Guards against a slow body of a refused request that delays the end of a stopping process.
#[test]
fn discarded_body_leaves_stop_in_time() {
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let mut stream = TcpStream::connect(node.settings().caller_address)
            .await
            .unwrap();
        let head = "POST /none HTTP/1.1\r\nhost: shop.example\r\nkey: k1\r\nrequest: r1\r\n\
            content-length: 1000000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let text = read_answer(&mut stream).await.unwrap();
        assert!(text.starts_with("http/1.1 404 "), "{text}");
        let begun = Instant::now();
        let stopping = tokio::task::spawn_local(node.stop());
        while !stopping.is_finished() {
            // A failed write means that the connection is closed.
            drop(stream.write_all(b"x").await);
            tokio::time::sleep(PAUSE).await;
        }
        // The grace period.
        assert!(begun.elapsed() < Duration::from_secs(8));
    });
}

/// Guards against a connection that is closed by the time-out of heads after the body of a refused request.
#[test]
fn connection_stays_idle_after_discarded_body() {
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let callers = node.settings().caller_address;
        let headers = "key: k1\r\nrequest: r1\r\n";
        let framing = BodyFraming::Length;
        let mut stream = TcpStream::connect(callers).await.unwrap();
        let first = post(&mut stream, "/none", headers, framing, BODY_BYTES).await;
        assert!(first.is_ok_and(|text| text.starts_with("http/1.1 404 ")));
        // Longer than the time-out of heads and the interval of checks, shorter than the time-out of idle connections.
        tokio::time::sleep(Duration::from_secs(11)).await;
        let second = post(&mut stream, "/none", headers, framing, BODY_BYTES).await;
        assert!(second.is_ok_and(|text| text.starts_with("http/1.1 404 ")));
    });
}

/// Guards against a connection that waits for a body that the caller never sends, and takes the next request for it.
#[test]
fn refusal_instead_of_continue_closes_connection() {
    run(async {
        let world = World::start().await;
        let node = world.start_node("n1").await;
        let mut stream = TcpStream::connect(node.settings().caller_address)
            .await
            .unwrap();
        let head = "POST /none HTTP/1.1\r\nhost: shop.example\r\nkey: k1\r\nrequest: r1\r\n\
            expect: 100-continue\r\ncontent-length: 1000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let text = read_answer(&mut stream).await.unwrap();
        assert!(text.starts_with("http/1.1 404 "), "{text}");
        let end = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut [0; 64])).await;
        assert_eq!(end.expect("the connection is closed").unwrap(), 0);
    });
}
