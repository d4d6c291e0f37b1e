//! Guards against answers of faulty engines that never end, in a head or a body: they must not fill the
//! memory of the process, keep it busy until the deadline, or reach the caller as complete.

mod relay_support;

use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::relay_support::World;
use crate::relay_support::raw_engine::RawAnswer;
use crate::relay_support::raw_engine::RawEngine;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::test_wire::PLAIN_SERVICE;
use crate::relay_support::wait_for;

/// The maximum number of bytes that an endless answer may send, in bytes: the limit of a whole body, and the
/// buffers of two sockets.
const MAX_SENT_BYTES: usize = 24 * 1024 * 1024;

/// The time in which an endless answer that arrives at full speed must be given up: well before the
/// time-out of the route, which is 8 s.
const MAX_DURATION: Duration = Duration::from_secs(6);

/// The data of one chunk of an endless answer.
const CHUNK_FILLER: &str =
    "40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n";

const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: p\r\n";

/// Endless answers of a plain service, by what is endless.
const PLAIN_ANSWERS: [(&str, &str, &str); 9] = [
    ("line", "HTTP/1.1 200 OK\r\nx: ", "aaaaaaaaaaaaaaaa"),
    (
        "header fields",
        "HTTP/1.1 200 OK\r\n",
        "x-a: bbbbbbbbbb\r\n",
    ),
    ("interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    ("no answer at all", "", "zzzzzzzzzzzzzzzz"),
    ("body without length", "", "xxxxxxxxxxxxxxxx"),
    ("chunks", "transfer-encoding: chunked\r\n\r\n", CHUNK_FILLER),
    (
        "chunk extension",
        "transfer-encoding: chunked\r\n\r\n5;",
        "eeeeeeeeeeeeeeee",
    ),
    (
        "trailers",
        "transfer-encoding: chunked\r\n\r\n0\r\n",
        "t: vvvvvvvvvvvv\r\n",
    ),
    (
        "long declared body",
        "content-length: 999999999999\r\n\r\n",
        "xxxxxxxxxxxxxxxx",
    ),
];

fn plain_answer(kind: &str, start: &'static str, filler: &'static str) -> RawAnswer {
    let start = match (kind, start) {
        ("body without length", _) => format!("{PLAIN_HEAD}\r\n"),
        (_, start) if start.starts_with("HTTP") || start.is_empty() => start.to_owned(),
        (_, start) => format!("{PLAIN_HEAD}{start}"),
    };
    RawAnswer {
        start: start.leak(),
        filler,
        pause: Duration::ZERO,
    }
}

/// An endpoint's answer never ends. The call may have run, so the caller must get neither a success nor the
/// assurance that it has not run, and the connection must be closed.
#[test]
fn plain_answer_without_end_is_given_up() {
    for (kind, start, filler) in PLAIN_ANSWERS {
        run(async {
            let world = World::start().await;
            let answer = plain_answer(kind, start, filler);
            let engine = RawEngine::start(&world.store, "p1", PLAIN_SERVICE, (0, 0), answer).await;
            let node = world.start_node("n1").await;
            let begin = Instant::now();
            let response = world.send(&node, "/once/book", "r1").await;
            assert_eq!(response.status, 502, "{kind}");
            assert!(
                begin.elapsed() <= MAX_DURATION,
                "{kind}: {:?}",
                begin.elapsed()
            );
            wait_for("the connection is closed", async || {
                engine.open_answers.get() == 0
            })
            .await;
            let sent_bytes = engine.sent_bytes.get();
            assert!(sent_bytes <= MAX_SENT_BYTES, "{kind}: {sent_bytes} bytes");
        });
    }
}

/// Bytes follow a whole answer without end. The answer must reach the caller, and the next request must not
/// be answered from these bytes.
#[test]
fn bytes_after_whole_answer_are_dropped() {
    run(async {
        let world = World::start().await;
        let answer = plain_answer("", "content-length: 4\r\n\r\ndone", "HTTP/1.1 200 OK\r\n");
        let engine = RawEngine::start(&world.store, "p1", PLAIN_SERVICE, (0, 0), answer).await;
        let node = world.start_node("n1").await;
        for number in 0..3 {
            let response = world.send(&node, "/any/stock", &format!("r{number}")).await;
            assert_eq!((response.status, &response.body[..]), (200, &b"done"[..]));
        }
        wait_for("the connections are closed", async || {
            engine.open_answers.get() == 0
        })
        .await;
        assert!(engine.sent_bytes.get() <= MAX_SENT_BYTES);
    });
}

const STREAM_START: &str =
    "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: e\r\n\r\nid: 1\ndata: 1\n\n";

/// An engine sends an event, comments or blank lines without end. The caller must see that the stream broke
/// off, and the process must neither buffer the event nor forward the comments for ever.
#[test]
fn stream_without_end_is_given_up() {
    for filler in ["data: xxxxxxxxxx", ":\n\n", "\n\n\n\n"] {
        run(async {
            let world = World::start().await;
            let answer = RawAnswer {
                start: STREAM_START,
                filler,
                pause: Duration::ZERO,
            };
            let engine = RawEngine::start(&world.store, "e1", MODEL_SERVICE, (0, 40), answer).await;
            let node = world.start_node("n1").await;
            let begin = Instant::now();
            let response = world.send(&node, "/model/a", "r1").await;
            assert!(!response.is_complete, "{filler:?}");
            assert!(response.body.starts_with(b"id: 1\ndata: 1\n\n"));
            assert!(
                begin.elapsed() <= MAX_DURATION,
                "{filler:?}: {:?}",
                begin.elapsed()
            );
            wait_for("the connection is closed", async || {
                engine.open_answers.get() == 0
            })
            .await;
            assert!(engine.sent_bytes.get() <= MAX_SENT_BYTES, "{filler:?}");
        });
    }
}

/// A stalled engine sends a byte or a comment now and then. These are no progress: the stream must go on at
/// another engine as if the engine sent nothing.
#[test]
fn stream_with_bytes_but_no_events_fails_over() {
    for filler in ["x", ":\n\n"] {
        run(async {
            let world = World::start().await;
            let answer = RawAnswer {
                start: STREAM_START,
                filler,
                pause: Duration::from_millis(40),
            };
            let stalled =
                RawEngine::start(&world.store, "e1", MODEL_SERVICE, (0, 40), answer).await;
            let node = world.start_node("n1").await;
            let response = world.open(&node, "/model/a", "r1").await;
            assert_eq!(stalled.open_answers.get(), 1);
            let sound = world.start_engine("e2", (0, 40)).await;
            let begin = Instant::now();
            let whole = relay_support::read(response).await;
            assert!(whole.is_complete, "{filler:?}");
            assert!(
                begin.elapsed() <= MAX_DURATION,
                "{filler:?}: {:?}",
                begin.elapsed()
            );
            assert_eq!(sound.runs.borrow().len(), 1);
        });
    }
}

/// A caller reads nothing for a while. The time in which its stream waits for it is no stall of the engine, so
/// the stream must stay where it is.
#[test]
fn stream_of_slow_caller_is_not_moved() {
    run(async {
        let world = World::start().await;
        let answer = RawAnswer {
            start: STREAM_START,
            filler: "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n",
            pause: Duration::ZERO,
        };
        let engine = RawEngine::start(&world.store, "e1", MODEL_SERVICE, (0, 40), answer).await;
        let node = world.start_node("n1").await;
        let mut response = world.open(&node, "/model/a", "r1").await;
        let other = world.start_engine("e2", (0, 40)).await;
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            for _ in 0..400 {
                assert!(response.frame().await.unwrap().is_ok());
            }
        }
        assert!(other.runs.borrow().is_empty());
        assert_eq!(engine.open_answers.get(), 1);
    });
}

/// Sends the head of a request with a body of ten bytes, and the first of these.
async fn start_slow_request(address: std::net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = "POST /once/book HTTP/1.1\r\nhost: shop.example\r\nkey: k1\r\nrequest: r1\r\nwait: 1500\r\n\
                content-length: 10\r\n\r\n1";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// A caller sends its body a byte at a time. The request must be refused as not run once its deadline has
/// passed, and not hold the connection for ever.
#[test]
fn slow_body_is_refused() {
    run(async {
        let world = World::start().await;
        let engine = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        let mut stream = start_slow_request(node.settings().caller_address).await;
        let begin = Instant::now();
        let head = relay_support::read_head(&mut stream).await;
        assert!(head.starts_with("HTTP/1.1 408 "), "{head}");
        assert!(begin.elapsed() <= Duration::from_millis(2_000));
        assert!(engine.runs.borrow().is_empty());
    });
}

/// A key is revoked while the body of a request arrives. The admission that was made with the head must not
/// let the request run.
#[test]
fn key_revoked_while_body_arrives_is_refused() {
    run(async {
        let world = World::start().await;
        let engine = world.start_endpoint("p1").await;
        let node = world.start_node("n1").await;
        let mut stream = start_slow_request(node.settings().caller_address).await;
        world.configure(2, &["k2"]);
        wait_for("the key is refused", async || {
            world.send(&node, "/any/stock", "r2").await.status == 401
        })
        .await;
        stream.write_all(b"234567890").await.unwrap();
        let head = relay_support::read_head(&mut stream).await;
        assert!(head.starts_with("HTTP/1.1 401 "), "{head}");
        assert!(!engine.runs.borrow().contains(&"r1".to_owned()));
    });
}

/// A caller doesn't read its stream. The engine must be released at the deadline, and the caller must not
/// take the part that it reads later for the whole.
#[test]
fn unread_stream_is_cut_at_deadline() {
    run(async {
        let world = World::start().await;
        let answer = RawAnswer {
            start: STREAM_START,
            filler: "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n",
            pause: Duration::ZERO,
        };
        let engine = RawEngine::start(&world.store, "e1", MODEL_SERVICE, (0, 40), answer).await;
        let node = world.start_node("n1").await;
        let response = world.open(&node, "/model/a", "r1").await;
        wait_for("the engine's connection is closed", async || {
            engine.open_answers.get() == 0
        })
        .await;
        let part = relay_support::read(response).await;
        assert!(!part.is_complete);
    });
}
