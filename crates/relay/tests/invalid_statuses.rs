//! Guards against an answer with an invalid status code that reaches a caller, that lets a request run twice that may
//! run once only, or that costs an idempotent request its next attempt.

mod relay_support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::relay_support::ReadResponse;
use crate::relay_support::World;
use crate::relay_support::answer_cut::BodyFraming;
use crate::relay_support::answer_cut::frame_answer;
use crate::relay_support::fake_engine::event_bytes;
use crate::relay_support::raw_engine::RawAnswer;
use crate::relay_support::raw_engine::RawEngine;
use crate::relay_support::run;
use crate::relay_support::scripted_engine::ConnectionEnd;
use crate::relay_support::scripted_engine::ScriptedAnswer;
use crate::relay_support::scripted_engine::start_scripted;
use crate::relay_support::test_wire::MODEL_SERVICE;
use crate::relay_support::test_wire::PLAIN_SERVICE;
use crate::relay_support::wait_for;

/// Status codes that are no number from 100 to 999.
const STATUSES: [&str; 3] = ["000", "099", "200000"];

/// The length of a long body in bytes, above the 8 MiB that the relay reads of a whole answer.
const LONG_BODY_BYTES: usize = 9 * 1_024 * 1_024;

/// What follows the head of an answer with an invalid status.
#[derive(Clone, Copy, Debug)]
enum AnswerTail {
    /// A short body and a reset of the connection.
    Reset,
    LongBody,
    /// A short body and a sound answer to the same request.
    ExtraAnswer,
}

/// Returns the first answer with its status replaced, and what follows it.
fn invalid_answer(id: &str, status: &str, tail: AnswerTail, body: &[u8]) -> ScriptedAnswer {
    let framing = BodyFraming::Length;
    let whole = frame_answer(id, framing, body);
    let head = format!("HTTP/1.1 {status} OK\r\nrequest: {id}\r\nsignature: s1\r\n");
    let (length, mut bytes) = match tail {
        AnswerTail::LongBody => (LONG_BODY_BYTES, vec![b'x'; LONG_BODY_BYTES]),
        AnswerTail::Reset | AnswerTail::ExtraAnswer => (body.len(), body.to_vec()),
    };
    if let AnswerTail::ExtraAnswer = tail {
        bytes.extend(whole);
    }
    let end = match tail {
        AnswerTail::Reset => ConnectionEnd::Reset,
        AnswerTail::LongBody | AnswerTail::ExtraAnswer => ConnectionEnd::Closed,
    };
    let head = format!("{head}content-length: {length}\r\n\r\n");
    let bytes = [head.into_bytes(), bytes].concat();
    ScriptedAnswer { bytes, end }
}

/// Sends one request whose first run gets an invalid answer and whose later runs get a sound one; returns the caller's
/// answer and the number of runs.
async fn send_one(
    path: &str,
    status: &'static str,
    tail: AnswerTail,
    body: &'static [u8],
) -> (ReadResponse, usize) {
    let service = match path.starts_with("/model") {
        true => MODEL_SERVICE,
        false => PLAIN_SERVICE,
    };
    let world = World::start().await;
    let runs = Rc::new(RefCell::new(0));
    for id in ["e1", "e2"] {
        let runs = Rc::clone(&runs);
        start_scripted(&world.store, id, service, move |request| {
            let run = runs.replace_with(|count| *count + 1);
            match run {
                0 => invalid_answer(request.id(), status, tail, body),
                _ => ScriptedAnswer::closed(frame_answer(request.id(), BodyFraming::Length, body)),
            }
        })
        .await;
    }
    let node = world.start_node("n1").await;
    wait_for("both engines are known", async || {
        world.knows_engines(&node, 2).await
    })
    .await;
    let answer = world.send(&node, path, "r1").await;
    let count = *runs.borrow();
    (answer, count)
}

/// Sends a request for each invalid status and each tail; fails if an answer is not the expected one.
fn check_route(path: &str, expected_status: u16, expected_runs: usize) {
    let body: &[u8] = (1..=3).flat_map(event_bytes).collect::<Vec<u8>>().leak();
    let mut faults = Vec::new();
    for status in STATUSES {
        for tail in [
            AnswerTail::Reset,
            AnswerTail::LongBody,
            AnswerTail::ExtraAnswer,
        ] {
            run(async {
                let (answer, count) = send_one(path, status, tail, body).await;
                let is_expected = answer.status == expected_status && answer.is_complete;
                let is_whole = answer.status != 200 || answer.body == body;
                if !is_expected || !is_whole || count != expected_runs {
                    let length = answer.body.len();
                    faults.push(format!(
                        "{path}, {status}, {tail:?}: {}, complete: {}, {length} bytes, {count} runs",
                        answer.status, answer.is_complete
                    ));
                }
            });
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a stream that is not sent to the next engine.
#[test]
fn resumable_stream_uses_next_attempt() {
    check_route("/model/a", 200, 2);
}

/// Guards against a second run of a stream that may run once.
#[test]
fn once_stream_ends_as_unknown() {
    check_route("/model-once/a", 502, 1);
}

/// Guards against an idempotent call that is not sent to the next endpoint.
#[test]
fn idempotent_call_uses_next_attempt() {
    check_route("/any/a", 200, 2);
}

/// Guards against a second run of a call that may run once.
#[test]
fn once_call_ends_as_unknown() {
    check_route("/once/a", 502, 1);
}

/// Guards against a body without end behind an invalid status that is read up to the limit of a whole answer.
#[test]
fn endless_body_is_not_read() {
    for (service, layers, path) in [
        (MODEL_SERVICE, (0, 40), "/model-once/a"),
        (PLAIN_SERVICE, (0, 0), "/once/a"),
    ] {
        for status in STATUSES {
            run(async {
                let world = World::start().await;
                let start = format!("HTTP/1.1 {status} OK\r\nrequest: {{id}}\r\n\r\n").leak();
                let answer = RawAnswer {
                    start,
                    filler: "data: x\n\n",
                    pause: Duration::ZERO,
                };
                let engine = RawEngine::start(&world.store, "e1", service, layers, answer).await;
                let node = world.start_node("n1").await;
                let answer = world.send(&node, path, "r1").await;
                assert_eq!(answer.status, 502, "{path}, {status}");
                let sent = engine.sent_bytes.get();
                assert!(sent < LONG_BODY_BYTES / 2, "{path}, {status}: {sent} bytes");
                wait_for("the connection is closed", async || {
                    engine.open_answers.get() == 0
                })
                .await;
            });
        }
    }
}
