use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::request::Parts;
use serde_json::Value;
use serde_json::json;
use tokio::task::spawn_local;

use super::fake_store::FakeStore;
use super::http_fake::FakeAnswer;
use super::http_fake::serve_fake;

/// The events of each stream.
pub(crate) const EVENTS: u64 = 12;

/// The pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(15);

/// The path of the request that crashes engines.
pub(crate) const CRASH_PATH: &str = "/model/crash";

/// What an engine does with requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EngineFault {
    /// Serves them.
    None,
    /// Cuts the stream in the middle of the fifth event.
    CutEvent,
    /// Sends events without identifiers and cuts the stream after the fifth.
    CutUnnumbered,
    /// Falls silent after the fourth event.
    SilentStream,
    /// Takes requests and questions and never answers.
    Silent,
    /// Takes requests and never answers, but reports as if it were well.
    Hanging,
    /// Refuses without running them.
    Full,
    /// Answers with the identifier of another request.
    Foreign,
    /// Answers that it failed.
    Failing,
    /// Runs them and cuts the connection before the answer.
    LostAnswer,
    /// Crashes when it begins to run the request at [`CRASH_PATH`]: the answer is cut, and its entry is
    /// gone.
    Crashing,
}

/// An engine or endpoint that lists itself in the store.
pub(crate) struct FakeEngine {
    id: String,
    service: &'static str,
    store: Rc<FakeStore>,
    address: Cell<Option<SocketAddr>>,
    layers: Cell<(u64, u64)>,
    orders: Cell<u64>,
    /// What it does with requests.
    pub(crate) fault: Cell<EngineFault>,
    /// The address of an engine for which it says that its requests wait.
    pub(crate) waits_for: Cell<Option<SocketAddr>>,
    /// The identifiers of the requests that began to run.
    pub(crate) runs: RefCell<Vec<String>>,
    /// The requests whose caller left.
    pub(crate) left: Cell<u32>,
    /// The headers of the newest request.
    pub(crate) seen: RefCell<Option<Parts>>,
}

impl FakeEngine {
    /// Starts an engine and lists it.
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
            orders: Cell::new(0),
            fault: Cell::new(EngineFault::None),
            waits_for: Cell::new(None),
            runs: RefCell::default(),
            left: Cell::new(0),
            seen: RefCell::default(),
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

    /// Lists the engine's state in the store.
    pub(crate) fn list(&self, is_draining: bool) {
        let address = self.address.get().unwrap().to_string();
        let (first, end) = self.layers.get();
        let doc = json!({
            "service": self.service, "address": address, "draining": is_draining,
            "first": first, "end": end,
        });
        self.store.put("engines", &self.id, &doc);
    }

    /// Returns where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address.get().unwrap()
    }

    /// Returns the layers that it holds.
    pub(crate) fn layers(&self) -> (u64, u64) {
        self.layers.get()
    }

    async fn answer(self: Rc<Self>, parts: Parts, body: Bytes) -> FakeAnswer {
        if self.fault.get() == EngineFault::Silent && parts.uri.path() == "/state" {
            std::future::pending::<()>().await;
        }
        match parts.uri.path() {
            "/state" => {
                let (first, end) = self.layers.get();
                let stalled: Vec<SocketAddr> = self.waits_for.get().into_iter().collect();
                let doc = json!({
                    "first": first, "end": end, "orders": self.orders.get(), "stalled": stalled,
                });
                FakeAnswer::new(200, &doc.to_string())
            }
            "/hold" => self.hold(&serde_json::from_slice(&body).unwrap()),
            _ => self.run(parts).await,
        }
    }

    fn hold(&self, order: &Value) -> FakeAnswer {
        if order["orders"].as_u64() != Some(self.orders.get()) {
            return FakeAnswer::new(409, "");
        }
        self.orders.set(self.orders.get() + 1);
        let layer = |name: &str| order[name].as_u64().unwrap();
        self.layers.set((layer("first"), layer("end")));
        self.list(false);
        FakeAnswer::new(202, "")
    }

    async fn run(self: Rc<Self>, parts: Parts) -> FakeAnswer {
        let text = |name: &str| {
            parts
                .headers
                .get(name)
                .map(|value| value.to_str().unwrap().to_owned())
        };
        let id = text("request").unwrap();
        let after: u64 = text("after").map_or(0, |text| text.parse().unwrap());
        let fault = match self.fault.get() {
            EngineFault::Crashing if parts.uri.path() != CRASH_PATH => EngineFault::None,
            fault => fault,
        };
        self.seen.replace(Some(parts));
        if fault == EngineFault::Full {
            return FakeAnswer::new(503, "full").header("not-run", "1");
        }
        self.runs.borrow_mut().push(id.clone());
        match fault {
            EngineFault::Silent | EngineFault::Hanging => std::future::pending().await,
            EngineFault::Failing => {
                return FakeAnswer::new(500, "failed")
                    .header("request", &id)
                    .header("signature", &self.id);
            }
            EngineFault::LostAnswer | EngineFault::Crashing => {
                if fault == EngineFault::Crashing {
                    self.store.remove("engines", &self.id);
                }
                let (sender, answer) = FakeAnswer::open(200);
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
        if self.service == super::test_wire::PLAIN_SERVICE {
            return FakeAnswer::new(200, "done")
                .header("request", id)
                .header("signature", &self.id);
        }
        let (sender, answer) = FakeAnswer::open(200);
        let engine = Rc::clone(&self);
        spawn_local(async move {
            for event in after + 1..=EVENTS {
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
                    engine.left.set(engine.left.get() + 1);
                    return;
                }
                tokio::time::sleep(EVENT_PAUSE).await;
                let is_cut = matches!(fault, EngineFault::CutEvent | EngineFault::CutUnnumbered);
                if is_cut && event == 5 {
                    // The caller may have closed the connection first.
                    let _ = sender.send(Err(std::io::Error::other("cut"))).await;
                    return;
                }
            }
        });
        answer.header("request", id).header("signature", &self.id)
    }
}

/// Returns the bytes of one event.
pub(crate) fn event_bytes(event: u64) -> Vec<u8> {
    format!("id: {event}\ndata: token {event}\n\n").into_bytes()
}
