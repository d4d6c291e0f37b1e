use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio_stream::wrappers::ReceiverStream;

use super::fake_engine::EVENTS;
use super::fake_engine::event_bytes;
use super::fake_store::FakeStore;
use super::test_wire::MODEL_SERVICE;

/// The time from the arrival of a request to its first token.
const PREFILL: Duration = Duration::from_millis(40);

/// The pause after each event.
const EVENT_PAUSE: Duration = Duration::from_millis(15);

/// The time from a crash until the engine is no longer listed.
const EXPIRY: Duration = Duration::from_millis(400);

/// The time from a crash until the engine is back under another name.
const RESTART: Duration = Duration::from_millis(900);

/// What a group of engines has seen.
#[derive(Debug, Default)]
pub(crate) struct CrashLog {
    /// The times at which engines crashed.
    pub(crate) crashes: Vec<Instant>,
    /// The arrivals of requests with the fatal part.
    pub(crate) fatal_arrivals: Vec<Instant>,
}

/// The requests that crash an engine, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FatalPrompt {
    /// The prompt part of these requests.
    pub(crate) part: &'static str,
    /// The number of events of the answer that the engine still sends.
    pub(crate) events: u64,
    /// The time from each of these events to the next one, or to the crash.
    pub(crate) pause: Duration,
}

impl FatalPrompt {
    /// Returns requests that crash an engine when it writes their first token.
    pub(crate) fn at_first_token(part: &'static str) -> FatalPrompt {
        FatalPrompt {
            part,
            events: 0,
            pause: Duration::ZERO,
        }
    }
}

/// An engine that crashes with all its streams when it runs a request with a fatal prompt. It refuses
/// connections then, and comes back under another name.
pub(crate) struct CrashEngine {
    id: String,
    fatal: FatalPrompt,
    store: Rc<FakeStore>,
    tasks: RefCell<Vec<AbortHandle>>,
    log: Rc<RefCell<CrashLog>>,
}

impl CrashEngine {
    /// Starts an engine that holds all layers, and registers it.
    pub(crate) async fn start(
        store: &Rc<FakeStore>,
        id: &str,
        fatal_part: &'static str,
        log: &Rc<RefCell<CrashLog>>,
    ) -> Rc<CrashEngine> {
        CrashEngine::start_with(store, id, FatalPrompt::at_first_token(fatal_part), log).await
    }

    /// Starts an engine that a prompt crashes at some event of the answer.
    pub(crate) async fn start_with(
        store: &Rc<FakeStore>,
        id: &str,
        fatal: FatalPrompt,
        log: &Rc<RefCell<CrashLog>>,
    ) -> Rc<CrashEngine> {
        let engine = Rc::new(CrashEngine {
            id: id.to_owned(),
            fatal,
            store: Rc::clone(store),
            tasks: RefCell::default(),
            log: Rc::clone(log),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let doc = json!({
            "service": MODEL_SERVICE, "address": listener.local_addr().unwrap().to_string(),
            "draining": false, "first": 0, "end": 40,
        });
        store.put("engines", id, &doc);
        let own = Rc::clone(&engine);
        let accepting = spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let engine = Rc::clone(&own);
                let serving = spawn_local(async move { engine.serve(stream).await });
                own.tasks.borrow_mut().push(serving.abort_handle());
            }
        });
        engine.tasks.borrow_mut().push(accepting.abort_handle());
        engine
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(move |request: Request<Incoming>| {
            let engine = Rc::clone(&self);
            async move { Ok::<_, Infallible>(engine.answer(request).await) }
        });
        // The relay closes connections of requests that it gives up.
        let _ = http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Response<StreamBody<impl StreamExt<Item = Result<Frame<Bytes>, Infallible>>>> {
        let (parts, body) = request.into_parts();
        // An incomplete body ends with its connection.
        let _ = body.collect().await;
        let text = |name: &str| {
            let value = parts.headers.get(name)?;
            Some(value.to_str().unwrap().to_owned())
        };
        let after: u64 = text("after").map_or(0, |text| text.parse().unwrap());
        let (sender, receiver) = mpsc::channel(64);
        let events = ReceiverStream::new(receiver).map(|piece| Ok(Frame::data(piece)));
        let response = Response::builder()
            .header("request", text("request").unwrap_or_default())
            .header("signature", &self.id)
            .body(StreamBody::new(events))
            .unwrap();
        let prompt = text("parts").unwrap_or_default();
        let is_fatal = prompt.split(',').any(|part| part == self.fatal.part);
        if is_fatal {
            self.log.borrow_mut().fatal_arrivals.push(Instant::now());
        }
        spawn_local(async move {
            tokio::select! {
                biased;
                // The relay has given the request up.
                () = sender.closed() => return,
                () = tokio::time::sleep(PREFILL) => {}
            }
            let fatal = is_fatal.then_some(self.fatal);
            for event in after + 1..=EVENTS {
                if fatal.is_some_and(|fatal| event - after > fatal.events) {
                    self.crash();
                    return;
                }
                if sender.send(Bytes::from(event_bytes(event))).await.is_err() {
                    return;
                }
                tokio::time::sleep(fatal.map_or(EVENT_PAUSE, |fatal| fatal.pause)).await;
            }
        });
        response
    }

    /// Closes the listener and all connections; the engine is delisted and restarted later.
    pub(crate) fn crash(&self) {
        let tasks = self.tasks.take();
        if tasks.is_empty() {
            return;
        }
        for task in tasks {
            task.abort();
        }
        self.log.borrow_mut().crashes.push(Instant::now());
        let (store, id) = (Rc::clone(&self.store), self.id.clone());
        let (fatal, log) = (self.fatal, Rc::clone(&self.log));
        spawn_local(async move {
            tokio::time::sleep(EXPIRY).await;
            store.remove("engines", &id);
            tokio::time::sleep(RESTART - EXPIRY).await;
            let next_id = format!("{id}-again");
            CrashEngine::start_with(&store, &next_id, fatal, &log).await;
        });
    }
}
