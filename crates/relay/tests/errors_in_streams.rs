//! Guards against the error of an engine that reaches the caller in the middle of a stream, or ends a stream as if
//! it were complete: a stream has begun and broke off, and the next engine answers with an error.

mod relay_support;

use std::cell::Cell;
use std::rc::Rc;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::relay_support::ReadResponse;
use crate::relay_support::World;
use crate::relay_support::fake_engine::event_bytes;
use crate::relay_support::read_head;
use crate::relay_support::run;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::wait_for;

/// The number of events that the first run sends.
const SENT_EVENTS: u64 = 3;

/// Starts two engines of which the first one to be asked sends some events and breaks off, and the other one
/// answers with `error`, in which `{id}` stands for the identifier of the request. Returns the answer to the caller.
async fn play(error: &'static str) -> ReadResponse {
    let world = World::start().await;
    let asked: Rc<Cell<u32>> = Rc::default();
    for id in ["u1", "u2"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let doc = json!({
            "service": MODEL_SERVICE, "address": listener.local_addr().unwrap().to_string(),
            "draining": false, "first": 0, "end": 40,
        });
        world.store.put("engines", id, &doc);
        let asked = Rc::clone(&asked);
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                spawn_local(answer(stream, Rc::clone(&asked), error));
            }
        });
    }
    let node = world.start_node("n1").await;
    wait_for("both engines are known", async || {
        world.knows_engines(&node, 2).await
    })
    .await;
    let answer = world.send(&node, "/model/a", "r1").await;
    assert_eq!(asked.get(), 2, "the second engine is asked");
    answer
}

async fn answer(mut stream: TcpStream, asked: Rc<Cell<u32>>, error: &str) {
    let head = read_head(&mut stream).await;
    let Some(id) = head.lines().find_map(|line| line.strip_prefix("request: ")) else {
        // The relay checks whether the engine still listens.
        return;
    };
    asked.set(asked.get() + 1);
    let answer = match asked.get() {
        1 => {
            let events: Vec<u8> = (1..=SENT_EVENTS).flat_map(event_bytes).collect();
            let events = String::from_utf8(events).unwrap();
            let length = events.len();
            format!(
                "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: u1\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{events}\r\n"
            )
        }
        _ => error.replace("{id}", id),
    };
    // The relay may close the connection first.
    let _ = stream.write_all(answer.as_bytes()).await;
}

/// The caller has the events of the first run and nothing else, and sees that the stream broke off.
fn check(answer: &ReadResponse, case: &str) {
    let sent: Vec<u8> = (1..=SENT_EVENTS).flat_map(event_bytes).collect();
    assert_eq!(answer.status, 200, "{case}");
    assert_eq!(
        String::from_utf8_lossy(&answer.body),
        String::from_utf8_lossy(&sent),
        "{case}"
    );
    assert!(!answer.is_complete, "{case}: the stream looks complete");
}

/// The error has a text that could pass for events.
#[test]
fn error_answer_is_not_in_stream() {
    let cases = [
        (
            "failure with a body",
            "HTTP/1.1 500 Failed\r\nrequest: {id}\r\nsignature: u2\r\ncontent-length: 18\r\n\r\ndata: no engine\n\n\n",
        ),
        (
            "failure without a length",
            "HTTP/1.1 502 Failed\r\nrequest: {id}\r\nsignature: u2\r\n\r\ndata: no engine\n\n",
        ),
        (
            "refusal with a body",
            "HTTP/1.1 503 Full\r\nrequest: {id}\r\nnot-run: 1\r\ncontent-length: 12\r\n\r\ndata: full\n\n",
        ),
        (
            "success without a signature",
            "HTTP/1.1 200 OK\r\nrequest: {id}\r\ncontent-length: 17\r\n\r\ndata: no engine\n\n",
        ),
        (
            "redirection",
            "HTTP/1.1 307 Elsewhere\r\nrequest: {id}\r\nsignature: u2\r\ncontent-length: 12\r\n\r\ndata: else\n\n",
        ),
        ("no HTTP", "data: no engine\n\n"),
    ];
    for (case, error) in cases {
        run(async {
            check(&play(error).await, case);
        });
    }
}

/// The engine begins to go on with the stream, and then writes an error, or its whole head, as the body.
#[test]
fn error_in_body_is_not_in_stream() {
    let cases = [
        (
            "head of a failure in a body without a length",
            "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: u2\r\n\r\nHTTP/1.1 500 Failed\r\nrequest: {id}\r\n\r\nno engine\n\n",
        ),
        (
            "text in a body without a length",
            "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: u2\r\n\r\nupstream connect error\n\n",
        ),
        (
            "text in a body with a length",
            "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: u2\r\ncontent-length: 16\r\n\r\n{\"error\":\"no\"}\n\n",
        ),
        (
            "an event without a number",
            "HTTP/1.1 200 OK\r\nrequest: {id}\r\nsignature: u2\r\ncontent-length: 17\r\n\r\ndata: no engine\n\n",
        ),
    ];
    for (case, error) in cases {
        run(async {
            check(&play(error).await, case);
        });
    }
}
