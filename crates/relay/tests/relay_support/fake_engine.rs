use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::http::request::Parts;
use serde_json::Value;
use serde_json::json;
use tokio::task::spawn_local;

use super::fake_store::FakeStore;
use super::http_fake::FakeResponse;
use super::http_fake::serve_fake;
use super::test_routes::FEED_PREFIX;
use super::test_routes::LETTER_PREFIX;

/// The number of events of each stream.
pub(crate) const EVENTS: u64 = 12;

/// The pause after each event.
const EVENT_PAUSE: Duration = Duration::from_millis(15);

/// The path of requests that crash a [`EngineFault::Crashing`] engine.
pub(crate) const CRASH_PATH: &str = "/model/crash";

/// The time for which an engine waits for the next one of its chain, before it gives up.
pub(crate) const STALL_TIME: Duration = Duration::from_millis(700);

/// The behavior of an engine towards requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EngineFault {
    /// Serves requests.
    None,
    /// Breaks the stream off in the middle of the fifth event.
    CutEvent,
    /// Sends events without identifiers and breaks the stream off after the fifth.
    CutUnnumbered,
    /// Sends nothing after the fourth event but keeps the stream open.
    SilentStream,
    /// Accepts requests and report requests and never responds.
    Silent,
    /// Accepts requests and never responds, but responds to report requests as a healthy engine does.
    Hanging,
    /// Rejects requests without running them.
    Full,
    /// Responds with the identifier of another request.
    Foreign,
    /// Runs requests and writes the refusal of an earlier request in place of the response.
    ForeignRefusal,
    /// Runs requests and writes a refusal that names no request.
    UnnamedRefusal,
    /// Runs requests and responds with an error.
    Failing,
    /// Runs requests and closes the connection during the response.
    LostAnswer,
    /// Crashes when it starts to run a request at [`CRASH_PATH`]: the connection closes, and the engine is
    /// no longer listed.
    Crashing,
    /// Waits for the engine that [`FakeEngine::waits_for`] names when it passes on a request at [`CRASH_PATH`], and
    /// turns the request away as not run after [`STALL_TIME`]. It takes no orders.
    Stalling,
}

/// A time in which a sound engine sends nothing to anybody, and then goes on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSilence {
    /// The number of events that precede it; 0 stands for the time before the head of the response.
    pub(crate) after_event: u64,
    /// Its length.
    pub(crate) duration: Duration,
}

/// A fake engine or endpoint that registers itself in the store.
pub(crate) struct FakeEngine {
    id: String,
    service: &'static str,
    store: Rc<FakeStore>,
    address: Cell<Option<SocketAddr>>,
    layers: Cell<(u64, u64)>,
    /// The number of requests that it runs at a time, as it is listed.
    pub(crate) slots: Cell<u64>,
    orders: Cell<u64>,
    /// The silence in each of its answers.
    pub(crate) silence: Cell<Option<EngineSilence>>,
    /// The end of its last silence.
    silent_until: Cell<Option<Instant>>,
    /// The end of a time in which it sends nothing on any connection.
    mute_until: Cell<Option<Instant>>,
    /// Whether it turns the next resumed streams away, in the order of their arrival; it takes the others.
    pub(crate) resumption_refusals: RefCell<VecDeque<bool>>,
    /// The number of prompt tokens from which on it turns requests away.
    pub(crate) refused_tokens: Cell<Option<u64>>,
    /// The time that it takes to return its state.
    pub(crate) report_delay: Cell<Duration>,
    /// Its behavior towards requests.
    pub(crate) fault: Cell<EngineFault>,
    /// Whether it says in all its answers that it leaves.
    pub(crate) is_leaving: Cell<bool>,
    /// The time for which it asks for no requests while it turns them away, in milliseconds.
    pub(crate) pause_ms: Cell<Option<u64>>,
    /// The number of requests that it has turned away with a pause.
    pub(crate) paused_arrivals: Cell<u32>,
    /// The address of an engine on which its requests wait, according to its report.
    pub(crate) waits_for: Cell<Option<SocketAddr>>,
    /// The identifiers of the requests that it started to run.
    pub(crate) runs: RefCell<Vec<String>>,
    /// The number of streams that were closed by the other side.
    pub(crate) closed_streams: Cell<u32>,
    /// The head of the last request.
    pub(crate) last_head: RefCell<Option<Parts>>,
}

impl FakeEngine {
    /// Starts an engine and registers it.
    pub(crate) async fn start(
        store: &Rc<FakeStore>,
        id: &str,
        service: &'static str,
        layers: (u64, u64),
    ) -> Rc<FakeEngine> {
        let engine = Rc::new(FakeEngine {
            id: id.to_owned(),
            service,
            store: Rc::clone(store),
            address: Cell::new(None),
            layers: Cell::new(layers),
            slots: Cell::new(8),
            orders: Cell::new(0),
            silence: Cell::default(),
            silent_until: Cell::default(),
            mute_until: Cell::default(),
            resumption_refusals: RefCell::default(),
            refused_tokens: Cell::default(),
            report_delay: Cell::default(),
            fault: Cell::new(EngineFault::None),
            is_leaving: Cell::new(false),
            pause_ms: Cell::new(None),
            paused_arrivals: Cell::new(0),
            waits_for: Cell::new(None),
            runs: RefCell::default(),
            closed_streams: Cell::new(0),
            last_head: RefCell::default(),
        });
        let own = Rc::clone(&engine);
        let address = serve_fake(move |parts, body| {
            let engine = Rc::clone(&own);
            async move { engine.answer(parts, body).await }
        });
        engine.address.set(Some(address.await));
        engine.list(false);
        engine
    }

    /// Writes the engine's registration to the store.
    pub(crate) fn list(&self, is_draining: bool) {
        let address = self.address.get().unwrap().to_string();
        let (first, end) = self.layers.get();
        let doc = json!({
            "service": self.service, "address": address, "draining": is_draining,
            "first": first, "end": end, "slots": self.slots.get(),
        });
        self.store.put("engines", &self.id, &doc);
    }

    /// Returns the address at which it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address.get().unwrap()
    }

    /// Gives it a range of layers without an order, and updates its registration.
    pub(crate) fn hold_layers(&self, layers: (u64, u64)) {
        self.layers.set(layers);
        self.list(false);
    }

    /// Returns its range of layers.
    pub(crate) fn layers(&self) -> (u64, u64) {
        self.layers.get()
    }

    async fn answer(self: Rc<Self>, parts: Parts, body: Bytes) -> FakeResponse {
        if self.fault.get() == EngineFault::Silent && parts.uri.path() == "/state" {
            std::future::pending::<()>().await;
        }
        match parts.uri.path() {
            "/state" => {
                if let Some(end) = self.silent_until.get() {
                    tokio::time::sleep_until(end.into()).await;
                }
                self.wait_while_mute().await;
                tokio::time::sleep(self.report_delay.get()).await;
                let (first, end) = self.layers.get();
                let stalled: Vec<SocketAddr> = self.waits_for.get().into_iter().collect();
                let doc = json!({
                    "first": first, "end": end, "orders": self.orders.get(), "stalled": stalled,
                });
                FakeResponse::new(200, &doc.to_string())
            }
            "/hold" if !self.is_meant(&parts) => FakeResponse::new(421, ""),
            "/hold" if self.fault.get() == EngineFault::Stalling => FakeResponse::new(409, ""),
            "/hold" => self.accept_order(&serde_json::from_slice(&body).unwrap()),
            _ => {
                let is_leaving = self.is_leaving.get();
                let answer = self.run(parts).await;
                match is_leaving {
                    true => answer.header("leaving", "1"),
                    false => answer,
                }
            }
        }
    }

    /// Returns whether a request names no engine or this one.
    fn is_meant(&self, parts: &Parts) -> bool {
        let expected = parts.headers.get("expected");
        expected.is_none_or(|expected| expected.to_str().unwrap() == self.id)
    }

    /// Waits for the length of the engine's silence if it begins after the event `event`.
    async fn fall_silent_after(&self, event: u64) {
        let silence = self.silence.get();
        if let Some(silence) = silence.filter(|silence| silence.after_event == event) {
            let end = Instant::now() + silence.duration;
            self.silent_until.set(Some(end));
            tokio::time::sleep_until(end.into()).await;
        }
    }

    /// Lets the engine send nothing on any connection for a time.
    pub(crate) fn fall_mute(&self, duration: Duration) {
        self.mute_until.set(Some(Instant::now() + duration));
    }

    /// Returns whether it sends nothing at present.
    pub(crate) fn is_mute(&self) -> bool {
        self.mute_until
            .get()
            .is_some_and(|end| end > Instant::now())
    }

    async fn wait_while_mute(&self) {
        while let Some(end) = self.mute_until.get().filter(|end| *end > Instant::now()) {
            tokio::time::sleep_until(end.into()).await;
        }
    }

    fn accept_order(&self, order: &Value) -> FakeResponse {
        if order["orders"].as_u64() != Some(self.orders.get()) {
            return FakeResponse::new(409, "");
        }
        self.orders.set(self.orders.get() + 1);
        let layer = |name: &str| order[name].as_u64().unwrap();
        self.layers.set((layer("first"), layer("end")));
        self.list(false);
        FakeResponse::new(202, "")
    }

    async fn run(self: Rc<Self>, parts: Parts) -> FakeResponse {
        let text = |name: &str| {
            parts
                .headers
                .get(name)
                .map(|value| value.to_str().unwrap().to_owned())
        };
        let id = text("request").unwrap();
        let after: u64 = text("after").map_or(0, |text| text.parse().unwrap());
        // The time that the request takes, in milliseconds.
        let work = Duration::from_millis(text("work").map_or(0, |text| text.parse().unwrap()));
        let tokens: u64 = text("tokens").map_or(0, |text| text.parse().unwrap());
        let fault = match self.fault.get() {
            EngineFault::Crashing | EngineFault::Stalling if parts.uri.path() != CRASH_PATH => {
                EngineFault::None
            }
            fault => fault,
        };
        let path = parts.uri.path();
        let is_stream = match self.service {
            super::test_wire::PLAIN_SERVICE => path.starts_with(FEED_PREFIX),
            _ => !path.starts_with(LETTER_PREFIX),
        };
        self.last_head.replace(Some(parts));
        self.wait_while_mute().await;
        if fault == EngineFault::Full {
            return FakeResponse::new(503, "full").header("not-run", "1");
        }
        if after > 0 && self.resumption_refusals.borrow_mut().pop_front() == Some(true) {
            return FakeResponse::new(503, "full")
                .header("request", &id)
                .header("not-run", "1");
        }
        if self
            .refused_tokens
            .get()
            .is_some_and(|limit| tokens >= limit)
        {
            return FakeResponse::new(503, "full")
                .header("request", &id)
                .header("not-run", "1");
        }
        if let Some(pause_ms) = self.pause_ms.get() {
            self.paused_arrivals.set(self.paused_arrivals.get() + 1);
            return FakeResponse::new(503, "full")
                .header("request", &id)
                .header("not-run", "1")
                .header("pause", &pause_ms.to_string());
        }
        self.runs.borrow_mut().push(id.clone());
        if fault == EngineFault::Stalling {
            let next = self.waits_for.get().unwrap();
            tokio::time::sleep(STALL_TIME).await;
            return FakeResponse::new(503, "stalled")
                .header("request", &id)
                .header("not-run", "1")
                .header("fault", &next.to_string());
        }
        if !is_stream {
            tokio::time::sleep(work).await;
        }
        self.fall_silent_after(0).await;
        match fault {
            EngineFault::Silent | EngineFault::Hanging => std::future::pending().await,
            EngineFault::ForeignRefusal | EngineFault::UnnamedRefusal => {
                let refusal = FakeResponse::new(503, "").header("not-run", "1");
                return match fault {
                    EngineFault::ForeignRefusal => refusal.header("request", "another"),
                    _ => refusal,
                };
            }
            EngineFault::Failing => {
                return FakeResponse::new(500, "failed")
                    .header("request", &id)
                    .header("signature", &self.id);
            }
            EngineFault::LostAnswer | EngineFault::Crashing => {
                if fault == EngineFault::Crashing {
                    self.store.remove("engines", &self.id);
                }
                let (sender, answer) = FakeResponse::streamed(200);
                let cut = std::io::Error::other("cut");
                sender.send(Err(cut)).await.unwrap();
                return answer.header("request", &id).header("signature", &self.id);
            }
            _ => {}
        }
        let id = match fault {
            EngineFault::Foreign => "another",
            _ => &id,
        };
        if !is_stream {
            return FakeResponse::new(200, "done")
                .header("request", id)
                .header("signature", &self.id);
        }
        let (sender, answer) = FakeResponse::streamed(200);
        let engine = Rc::clone(&self);
        spawn_local(async move {
            for event in after + 1..=EVENTS {
                if event > 1 {
                    engine.fall_silent_after(event - 1).await;
                }
                engine.wait_while_mute().await;
                let mut piece = event_bytes(event);
                if fault == EngineFault::SilentStream && event > 4 {
                    sender.closed().await;
                }
                if fault == EngineFault::CutEvent && event == 5 {
                    piece.truncate(7);
                }
                if fault == EngineFault::CutUnnumbered {
                    piece = b"data: token\n\n".to_vec();
                }
                if sender.send(Ok(Bytes::from(piece))).await.is_err() {
                    engine.closed_streams.set(engine.closed_streams.get() + 1);
                    return;
                }
                tokio::time::sleep(EVENT_PAUSE.max(work / EVENTS as u32)).await;
                let is_cut = matches!(fault, EngineFault::CutEvent | EngineFault::CutUnnumbered);
                if is_cut && event == 5 {
                    // The relay may have closed the connection first.
                    let _ = sender.send(Err(std::io::Error::other("cut"))).await;
                    return;
                }
            }
            engine.fall_silent_after(EVENTS).await;
        });
        answer.header("request", id).header("signature", &self.id)
    }
}

/// Returns the bytes of one event.
pub(crate) fn event_bytes(event: u64) -> Vec<u8> {
    format!("id: {event}\ndata: token {event}\n\n").into_bytes()
}
