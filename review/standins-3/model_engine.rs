//! Engines of a model that is split over several of them. Each takes orders to hold layers, and runs requests on the path
//! that `X-Hop-Count` lists.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::unix_ms;
use crate::http::Request;
use crate::http::write_answer;
use crate::http::write_chunk;
use crate::http::write_chunked_head;
use crate::json::Json;
use crate::server::Server;
use crate::store::Store;

/// The number of layers of the model.
pub const LAYERS: u16 = 40;

/// The time after which work that depends on a dead engine is given up: `stall_ms` of the sheet.
pub const STALL: Duration = Duration::from_millis(2_000);

/// The time after which the row of a silent engine is removed: three heartbeats of 1.2 s.
const LAPSE: Duration = Duration::from_millis(3_600);

/// The time from the arrival of a request to its first token.
const PREFILL: Duration = Duration::from_millis(60);

/// The time to load all layers.
const LOAD_ALL: Duration = Duration::from_millis(1_600);

/// The kind of the engines, as `kinds` of the configuration lists it.
pub const KIND: &str = "l40s";

/// A request that reached the first engine of its path.
#[derive(Clone, Debug)]
pub struct PathArrival {
    pub at: Instant,
    /// The request's own identifier.
    pub request: String,
    pub engine: String,
    /// Whether it is one of those that crash engines.
    pub is_fatal: bool,
}

/// How a request that an engine ran has ended there.
#[derive(Clone, Debug)]
pub struct PathRun {
    pub request: String,
    pub engine: String,
    pub begun: Instant,
    pub ended: Instant,
    pub end: String,
}

/// What the engines of a service share.
pub struct Fleet {
    pub store: Arc<Store>,
    pub service: String,
    /// The engines that run.
    pub engines: Mutex<Vec<Arc<ModelEngine>>>,
    pub arrivals: Mutex<Vec<PathArrival>>,
    pub runs: Mutex<Vec<PathRun>>,
    /// The crashes that requests have caused, each with the engine.
    pub crashes: Mutex<Vec<(Instant, String)>>,
    /// The text in the body of a request that crashes the last engine of its path; empty for none.
    pub fatal_text: String,
    /// The prefix of the paths whose answers are sent whole and not as events; empty for none.
    pub whole_prefix: String,
    /// The time after which a crashed engine is back.
    pub restart: Duration,
    /// The number of events of an answer, and the pause between two of them.
    pub events: (u64, Duration),
}

impl Fleet {
    fn running(&self, address: &str) -> Option<Arc<ModelEngine>> {
        let engines = self.engines.lock().unwrap();
        let mut engines = engines.iter();
        engines.find(|engine| engine.address.to_string() == address).cloned()
    }

    /// Starts an engine without layers and registers it.
    pub fn start_engine(
        self: &Arc<Fleet>,
        id: &str,
        zone: &str,
        host: Ipv4Addr,
        port: u16,
    ) -> Arc<ModelEngine> {
        let (fleet, slot) = (Arc::clone(self), Arc::new(Mutex::new(None::<Arc<ModelEngine>>)));
        let own = Arc::clone(&slot);
        let handler = move |request: &Request, stream: &mut TcpStream| {
            let engine = own.lock().unwrap().clone();
            match engine {
                Some(engine) => engine.answer(&fleet, request, stream),
                None => Ok(false),
            }
        };
        let server = Server::start(SocketAddr::from((host, port)), Arc::new(handler));
        let server = server.expect("a free port for an engine");
        let engine = Arc::new(ModelEngine {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: server.address(),
            born: unix_ms(),
            is_dark: AtomicBool::new(false),
            state: Mutex::default(),
            server,
        });
        *slot.lock().unwrap() = Some(Arc::clone(&engine));
        self.engines.lock().unwrap().push(Arc::clone(&engine));
        self.register(&engine);
        engine
    }

    fn register(&self, engine: &ModelEngine) {
        self.store.put("servers", &engine.id, &engine.row(&self.service));
    }

    /// Crashes an engine, which is back after some seconds under another name at the same address.
    fn crash(self: &Arc<Fleet>, engine: &Arc<ModelEngine>) {
        let mut engines = self.engines.lock().unwrap();
        let count = engines.len();
        engines.retain(|known| known.id != engine.id);
        let was_running = engines.len() < count;
        drop(engines);
        if !was_running {
            return;
        }
        self.crashes.lock().unwrap().push((Instant::now(), engine.id.clone()));
        engine.server.stop();
        let (fleet, engine) = (Arc::clone(self), Arc::clone(engine));
        std::thread::spawn(move || {
            let crashed_at = Instant::now();
            sleep(fleet.restart);
            let SocketAddr::V4(address) = engine.address else { return };
            let name = format!("{}x", engine.id);
            fleet.start_engine(&name, &engine.zone, *address.ip(), address.port());
            sleep(LAPSE.saturating_sub(crashed_at.elapsed()));
            fleet.store.remove("servers", &engine.id);
        });
    }

    /// Takes the power from an engine for a time, after which it is back under another name at the same address.
    pub fn go_dark(self: &Arc<Fleet>, engine: &Arc<ModelEngine>, length: Duration) {
        engine.is_dark.store(true, Ordering::SeqCst);
        let mut engines = self.engines.lock().unwrap();
        engines.retain(|known| known.id != engine.id);
        drop(engines);
        let (fleet, engine) = (Arc::clone(self), Arc::clone(engine));
        std::thread::spawn(move || {
            let dark_at = Instant::now();
            sleep(LAPSE.min(length));
            fleet.store.remove("servers", &engine.id);
            sleep(length.saturating_sub(dark_at.elapsed()));
            engine.server.stop();
            let SocketAddr::V4(address) = engine.address else { return };
            let name = format!("{}x", engine.id);
            fleet.start_engine(&name, &engine.zone, *address.ip(), address.port());
        });
    }
}

#[derive(Default)]
struct EngineState {
    layers: (u16, u16),
    is_busy: bool,
    orders: u64,
    /// The requests that wait for a dead engine, each with that engine's address.
    stalled: Vec<(String, String)>,
    running: usize,
}

/// One engine.
pub struct ModelEngine {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u64,
    /// Whether its host has lost power, so that nothing is answered.
    is_dark: AtomicBool,
    state: Mutex<EngineState>,
    server: Server,
}

impl ModelEngine {
    /// Returns whether it holds these layers.
    pub fn holds(&self, layers: (u16, u16)) -> bool {
        let held = self.state.lock().unwrap().layers;
        held.0 <= layers.0 && layers.1 <= held.1 && layers.0 < layers.1
    }

    /// Returns the layers that it holds.
    pub fn layers(&self) -> (u16, u16) {
        self.state.lock().unwrap().layers
    }

    fn row(&self, service: &str) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":192,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"unified\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"kind\":\"{KIND}\",\
             \"layers\":{{\"from\":{},\"target\":{},\"version\":1}},\"seq\":{},\"born\":{}}}",
            self.address, self.zone, state.layers.0, state.layers.1, state.orders, self.born
        )
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let stalled = state.stalled.iter();
        let stalled: Vec<String> = stalled
            .map(|(id, address)| format!("{{\"id\":\"{id}\",\"address\":\"{address}\"}}"))
            .collect();
        format!(
            "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"kind\":\"{KIND}\",\"layers\":{{\"from\":{},\"target\":{},\"version\":1}},\"busy\":{},\
             \"seq\":{},\"waiting\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":1000000,\"handles\":0,\
             \"pace\":1.0,\"stalled\":[{}],\"born\":{}}}",
            state.layers.0,
            state.layers.1,
            state.is_busy,
            state.orders,
            state.running,
            stalled.join(","),
            self.born
        )
    }

    fn answer(
        self: &Arc<ModelEngine>,
        fleet: &Arc<Fleet>,
        request: &Request,
        stream: &mut TcpStream,
    ) -> std::io::Result<bool> {
        if self.is_dark.load(Ordering::SeqCst) {
            // The connection hangs until the host is back.
            sleep(Duration::from_secs(60));
            return Ok(false);
        }
        let id = request.header("x-request-id");
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = [("X-Request-Id", id.as_str()), ("X-Instance-Id", self.id.as_str())];
            write_answer(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        match request.path.as_str() {
            "/report" => {
                let headers = [("content-type", "application/json")];
                write_answer(stream, 200, &headers, self.report().as_bytes())?;
                Ok(true)
            }
            "/order" => {
                let status = self.take_order(fleet, &request.body);
                write_answer(stream, status, &[], b"")?;
                Ok(true)
            }
            _ => self.run(fleet, request, stream),
        }
    }

    fn take_order(self: &Arc<ModelEngine>, fleet: &Arc<Fleet>, body: &[u8]) -> u16 {
        let Some(order) = Json::parse(&String::from_utf8_lossy(body)) else {
            return 400;
        };
        let layers = (order.number("from") as u16, order.number("target") as u16);
        let mut state = self.state.lock().unwrap();
        if state.layers == layers {
            return 200;
        }
        if state.is_busy || order.number("precondition") as u64 != state.orders {
            return 409;
        }
        state.is_busy = true;
        state.orders += 1;
        drop(state);
        let (engine, fleet) = (Arc::clone(self), Arc::clone(fleet));
        std::thread::spawn(move || {
            sleep(LOAD_ALL * u32::from(layers.1 - layers.0) / u32::from(LAYERS));
            let mut state = engine.state.lock().unwrap();
            state.layers = layers;
            state.is_busy = false;
            drop(state);
            let is_running = fleet.running(&engine.address.to_string());
            if is_running.is_some_and(|known| known.id == engine.id) {
                fleet.register(&engine);
            }
        });
        202
    }

    fn run(
        self: &Arc<ModelEngine>,
        fleet: &Arc<Fleet>,
        request: &Request,
        stream: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let id = request.header("x-request-id");
        let text = String::from_utf8_lossy(&request.body[..request.body.len().min(64)]).into_owned();
        let is_fatal = !fleet.fatal_text.is_empty() && text.contains(&fleet.fatal_text);
        fleet.arrivals.lock().unwrap().push(PathArrival {
            at: Instant::now(),
            request: id.clone(),
            engine: self.id.clone(),
            is_fatal,
        });
        let hops = request.header("x-hop-count");
        let hops = if hops.is_empty() { format!("{}=0-{LAYERS}", self.address) } else { hops };
        let mut path = Vec::new();
        for hop in hops.split(',') {
            let (address, range) = hop.split_once('=').unwrap_or((hop, ""));
            let (from, target) = range.split_once('-').unwrap_or(("0", "0"));
            let layers = (from.parse().unwrap_or(0), target.parse().unwrap_or(0));
            match fleet.running(address) {
                Some(engine) if engine.holds(layers) => path.push(engine),
                Some(engine) => return reject(stream, 421, &id, &engine.address.to_string()),
                None => return self.stall(stream, &id, address),
            }
        }
        sleep(PREFILL);
        if !fleet.whole_prefix.is_empty() && request.path.starts_with(&fleet.whole_prefix) {
            return self.write_whole(fleet, &id, stream);
        }
        if is_fatal {
            let last = path.last().cloned().unwrap_or_else(|| Arc::clone(self));
            fleet.crash(&last);
            if last.id == self.id {
                return Ok(false);
            }
        }
        let begun = Instant::now();
        self.state.lock().unwrap().running += 1;
        let end = self.write_events(fleet, request, &path, stream);
        self.state.lock().unwrap().running -= 1;
        let (end, is_kept) = match end {
            Ok(true) => ("whole", Ok(true)),
            Ok(false) => ("cut off by the loss of an engine", Ok(false)),
            Err(error) => ("its connection was closed", Err(error)),
        };
        fleet.runs.lock().unwrap().push(PathRun {
            request: id,
            engine: self.id.clone(),
            begun,
            ended: Instant::now(),
            end: end.to_owned(),
        });
        is_kept
    }

    /// Answers with the whole text at once.
    fn write_whole(&self, fleet: &Fleet, id: &str, stream: &mut TcpStream) -> std::io::Result<bool> {
        let begun = Instant::now();
        let signature = format!("{}.{id}", self.id);
        let headers = [
            ("content-type", "application/json"),
            ("X-Request-Id", id),
            ("X-Response-Signature", signature.as_str()),
            ("X-Weight-Versions", "1"),
        ];
        let written = write_answer(stream, 200, &headers, b"{\"text\":\"the letter\"}");
        fleet.runs.lock().unwrap().push(PathRun {
            request: id.to_owned(),
            engine: self.id.clone(),
            begun,
            ended: Instant::now(),
            end: if written.is_ok() { "whole" } else { "its connection was closed" }.to_owned(),
        });
        written.map(|()| true)
    }

    /// Waits for a dead engine, and then rejects the request, which has not begun.
    fn stall(&self, stream: &mut TcpStream, id: &str, address: &str) -> std::io::Result<bool> {
        let entry = (id.to_owned(), address.to_owned());
        self.state.lock().unwrap().stalled.push(entry.clone());
        sleep(STALL);
        self.state.lock().unwrap().stalled.retain(|known| *known != entry);
        reject(stream, 503, id, address)
    }

    /// Returns whether the answer is whole; false if an engine of the path was lost.
    fn write_events(
        &self,
        fleet: &Fleet,
        request: &Request,
        path: &[Arc<ModelEngine>],
        stream: &mut TcpStream,
    ) -> std::io::Result<bool> {
        let id = request.header("x-request-id");
        let first: u64 = request.header("last-event-id").parse().map_or(1, |last: u64| last + 1);
        let lost = || {
            let mut path = path.iter();
            path.find(|engine| {
                let known = fleet.running(&engine.address.to_string());
                known.is_none_or(|known| known.id != engine.id)
            })
        };
        if let Some(lost) = lost() {
            return self.stall(stream, &id, &lost.address.to_string());
        }
        let signature = format!("{}.{id}", self.id);
        let headers = [
            ("content-type", "text/event-stream"),
            ("X-Request-Id", id.as_str()),
            ("X-Response-Signature", signature.as_str()),
            ("X-Weight-Versions", "1"),
        ];
        write_chunked_head(stream, 200, &headers)?;
        let (count, pause) = fleet.events;
        for number in first..=count {
            if lost().is_some() {
                sleep(STALL);
                return Ok(false);
            }
            write_chunk(stream, format!("id: {number}\ndata: token {number}\n\n").as_bytes())?;
            sleep(pause);
        }
        write_chunk(stream, b"")?;
        Ok(true)
    }
}

fn reject(stream: &mut TcpStream, status: u16, id: &str, address: &str) -> std::io::Result<bool> {
    let headers = [("X-Request-Id", id), ("X-Not-Executed", "1"), ("At-Server", address)];
    write_answer(stream, status, &headers, b"")?;
    Ok(true)
}

/// Returns the part of a configuration that describes the service of these engines.
///
/// `layer_mb` is the memory of a layer and `token_bytes` that of a token of context; an engine has 43,200 MB.
pub fn service_text(name: &str, layer_mb: f64, token_bytes: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":978,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":192,\"kvTokens\":100000,\"kvTokenBytes\":{token_bytes},\
         \"linkMbps\":400000.0,\"stride\":3,\"models\":[{{\"name\":\"m\",\"pace\":1.0,\"loadS\":1.6,\
         \"warmS\":1.0}}],\"step_ms\":1.02,\"per_seq_ms\":0.00714,\"context_per_k\":0.00956,\
         \"read_per_s\":105000.0,\"pairs_per_m\":0.309,\"chunk\":512,\"report_lag_ms\":200.0,\
         \"loadsPerS\":0.0,\"loads_at_once\":5,\"delays\":[],\"usual\":{{\"prompt\":774,\"answer\":203}},\
         \"layers\":{LAYERS},\"layerMb\":{layer_mb},\"actBytes\":45900,\"pipeMbps\":18000.0,\
         \"kinds\":[{{\"name\":\"{KIND}\",\"mb\":43200.0,\"pace\":5.6,\"readX\":2.7}}]}}}}"
    )
}
