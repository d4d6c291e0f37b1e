//! Guards against requests that a stopping process takes and cuts: whoever has sent a whole request gets a complete
//! answer, or a refusal of a request that never runs.

mod relay_support;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::body::Frame;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use crate::relay_support::World;
use crate::relay_support::fake_engine::FakeEngine;
use crate::relay_support::read;
use crate::relay_support::run;

/// The number of callers, each of which sends one request after the other.
const CALLERS: u64 = 80;

/// The time for which callers send requests before the process is told to stop.
const LEAD_TIME: Duration = Duration::from_millis(1_500);

/// The pause of a caller between two requests, which is the time to retry that a stopping process names.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The time-out of the routes, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 8_000;

/// The size of a request's body, in bytes.
const BODY_BYTES: usize = 2_000;

type CallerConnection =
    SendRequest<http_body_util::combinators::UnsyncBoxBody<Bytes, std::io::Error>>;

/// One request and how long its parts take.
#[derive(Clone, Debug)]
struct CallPlan {
    id: String,
    path: &'static str,
    wait_ms: u64,
    work_ms: u64,
    /// The time from the head to the end of the body.
    body_ms: u64,
    is_kept: bool,
}

impl CallPlan {
    fn random(rng: &mut ChaCha8Rng, id: String) -> CallPlan {
        CallPlan {
            id,
            path: ["/once/a", "/any/a", "/model/a"][rng.random_range(0..3)],
            wait_ms: [1_000, 3_000, ROUTE_TIMEOUT_MS, ROUTE_TIMEOUT_MS][rng.random_range(0..4)],
            work_ms: rng.random_range(100..=3_000),
            body_ms: match rng.random() {
                true => rng.random_range(100..=6_000),
                false => 0,
            },
            is_kept: rng.random(),
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
enum CallEnd {
    /// A complete answer with a status, and whether it names a time to retry.
    Answered(u16, bool),
    /// No answer, or an incomplete one.
    Lost,
}

/// The record of one request.
#[derive(Clone, Debug)]
struct CallRecord {
    plan: CallPlan,
    sent_at: Instant,
    ended_at: Instant,
    end: CallEnd,
    /// Whether the connection had served a request before.
    is_reused: bool,
}

async fn open_connection(address: std::net::SocketAddr) -> Result<CallerConnection, String> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| error.to_string())?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    // The sender reports the failures.
    spawn_local(async move { drop(connection.await) });
    Ok(sender)
}

/// Sends a request, whose body ends `body_ms` after its head, and reads the answer.
async fn send_call(connection: &mut CallerConnection, plan: &CallPlan) -> CallEnd {
    let body_ms = plan.body_ms;
    let half = |delay_ms| async move {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        Ok(Frame::data(Bytes::from(vec![b'x'; BODY_BYTES / 2])))
    };
    let pieces = stream::iter([0, body_ms]).then(half);
    let body = http_body_util::BodyExt::boxed_unsync(StreamBody::new(pieces));
    let request = Request::builder()
        .method("POST")
        .uri(plan.path)
        .header("host", "shop.example")
        .header("key", "k1")
        .header("request", &plan.id)
        .header("wait", plan.wait_ms.to_string())
        .header("work", plan.work_ms.to_string())
        .header("content-length", BODY_BYTES.to_string())
        .body(body)
        .unwrap();
    match connection.send_request(request).await {
        Ok(response) => {
            let answer = read(response).await;
            match answer.is_complete {
                true => {
                    let has_retry = answer.headers.contains_key("retry-after");
                    CallEnd::Answered(answer.status, has_retry)
                }
                false => CallEnd::Lost,
            }
        }
        Err(_) => CallEnd::Lost,
    }
}

/// Sends requests in series until the process has stopped.
async fn run_caller(
    number: u64,
    address: std::net::SocketAddr,
    has_stopped: Rc<Cell<bool>>,
    records: Rc<RefCell<Vec<CallRecord>>>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(number);
    let mut kept: Option<CallerConnection> = None;
    let mut count = 0;
    while !has_stopped.get() {
        count += 1;
        let plan = CallPlan::random(&mut rng, format!("r{number}-{count}"));
        let reusable = kept.take().filter(|kept| plan.is_kept && kept.is_ready());
        let is_reused = reusable.is_some();
        let connection = match reusable {
            Some(connection) => Ok(connection),
            None => open_connection(address).await,
        };
        let Ok(mut connection) = connection else {
            return;
        };
        let sent_at = Instant::now();
        let end = send_call(&mut connection, &plan).await;
        records.borrow_mut().push(CallRecord {
            plan,
            sent_at,
            ended_at: Instant::now(),
            end,
            is_reused,
        });
        tokio::time::sleep(RETRY_PAUSE).await;
        kept = Some(connection);
    }
}

/// Returns what is wrong with the end of a request that the process had read whole, if anything is.
fn find_fault(record: &CallRecord, has_run: bool, stopped_at: Instant) -> Option<&'static str> {
    let plan = &record.plan;
    let is_late = record.ended_at - record.sent_at >= Duration::from_millis(plan.wait_ms);
    // A request may cross the end of its connection or of the process.
    let body_end = record.sent_at + Duration::from_millis(plan.body_ms);
    let is_crossing = record.is_reused || body_end + Duration::from_millis(100) >= stopped_at;
    match &record.end {
        CallEnd::Answered(200, _) => (!has_run).then_some("served without a run"),
        CallEnd::Answered(503, has_retry) if has_run || !has_retry => {
            Some("refused after a run, or without a time to retry")
        }
        CallEnd::Answered(503, _) => None,
        CallEnd::Answered(_, _) => (!is_late).then_some("failed before the deadline"),
        CallEnd::Lost if has_run => (!is_late).then_some("cut while it ran"),
        CallEnd::Lost => (!is_crossing).then_some("neither answered nor refused"),
    }
}

/// A process is told to stop while callers send calls and streams in series, over kept and over new connections,
/// some with bodies that arrive seconds after their heads.
#[test]
fn stop_answers_or_refuses_each_request() {
    run(async {
        let world = Rc::new(World::start().await);
        let engines: Vec<Rc<FakeEngine>> = vec![
            world.start_endpoint("p1").await,
            world.start_endpoint("p2").await,
            world.start_engine("e1", (0, 40)).await,
        ];
        // The tasks of the process end with its set, as they do at the end of a real process.
        let process = LocalSet::new();
        let node = process.run_until(world.start_node("n1")).await;
        let address = node.settings().caller_address;
        let has_stopped = Rc::new(Cell::new(false));
        let records = Rc::new(RefCell::new(Vec::new()));
        let callers = (0..CALLERS).map(|number| {
            run_caller(
                number,
                address,
                Rc::clone(&has_stopped),
                Rc::clone(&records),
            )
        });
        let callers = join_all(callers);
        let stopping = async {
            let life = async {
                tokio::time::sleep(LEAD_TIME).await;
                node.stop().await;
            };
            process.run_until(life).await;
            has_stopped.set(true);
            let stopped_at = Instant::now();
            drop(process);
            stopped_at
        };
        let (stopped_at, _) = tokio::join!(stopping, callers);
        let records = records.borrow();
        let mut faults = Vec::new();
        for record in records.iter() {
            let has_run = engines
                .iter()
                .any(|engine| engine.runs.borrow().contains(&record.plan.id));
            if let Some(fault) = find_fault(record, has_run, stopped_at) {
                let age = stopped_at.saturating_duration_since(record.sent_at);
                faults.push(format!("{fault}, sent {age:?} before the end: {record:?}"));
            }
        }
        let count = |status| {
            let is_counted = |record: &&CallRecord| matches!(record.end, CallEnd::Answered(found, _) if found == status);
            records.iter().filter(is_counted).count()
        };
        println!(
            "{} requests: {} served, {} refused",
            records.len(),
            count(200),
            count(503)
        );
        assert!(count(200) > 0 && count(503) > 0);
        assert!(
            faults.is_empty(),
            "{} faults:\n{}",
            faults.len(),
            faults.join("\n")
        );
    });
}
