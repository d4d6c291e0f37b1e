//! A stand-in of the platform's metadata store, with rows in tables.
//!
//! On loopback, a connection doesn't show which machine opened it. Each machine therefore gets an address of the store of
//! its own; all of them lead to the same rows.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::write_answer;
use crate::json::Json;
use crate::json::base64;
use crate::json::quote;
use crate::server::Server;

/// The time that a transaction or a read takes.
const CALL_TIME: Duration = Duration::from_millis(4);

/// A row's table, part and key.
type RowName = (String, String, String);

/// How the store answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    /// As it should.
    Sound,
    /// 503 to each call; nothing is done.
    Busy,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowName, (String, u64)>,
    /// Each change: its version, the row's name and its new value, if any.
    history: Vec<(u64, RowName, Option<String>)>,
    version: u64,
    mode: Option<StoreMode>,
}

/// The store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    /// The times of the reads of the list of engines, each with the machine that read it.
    pub list_reads: Mutex<Vec<(Instant, String)>>,
    servers: Mutex<Vec<Server>>,
}

impl Store {
    /// Creates an empty store.
    pub fn create() -> Arc<Store> {
        Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            list_reads: Mutex::default(),
            servers: Mutex::default(),
        })
    }

    /// Opens the address for a machine, on a host with a free port.
    pub fn open_for(self: &Arc<Store>, machine: &str, host: Ipv4Addr) -> SocketAddr {
        let (own, machine) = (Arc::clone(self), machine.to_owned());
        let handler =
            move |request: &Request, stream: &mut TcpStream| own.answer(request, stream, &machine);
        let server = Server::start(SocketAddr::from((host, 0)), Arc::new(handler));
        let server = server.expect("a free port for the store");
        let address = server.address();
        self.servers.lock().unwrap().push(server);
        address
    }

    /// Sets how it answers from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.rows.lock().unwrap().mode = Some(mode);
        self.changed.notify_all();
    }

    /// Writes a row without a part, as the operator and the engines do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row without a part.
    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        rows.apply((table.to_owned(), String::new(), key.to_owned()), value);
        drop(rows);
        self.changed.notify_all();
    }

    fn answer(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        machine: &str,
    ) -> std::io::Result<bool> {
        std::thread::sleep(CALL_TIME);
        let path = request.path.split('?').next().unwrap_or_default();
        let mode = self.mode();
        let (status, body) = match mode {
            StoreMode::Busy => (503, "{}".to_owned()),
            StoreMode::Sound => match path {
                "/rows-get" => {
                    if request.query("table") == "servers" {
                        self.list_reads.lock().unwrap().push((Instant::now(), machine.to_owned()));
                    }
                    (200, self.read(request))
                }
                "/rows-feed" => (200, self.feed(request)),
                "/rows-tx" => self.transact(&request.body),
                _ => (404, "{}".to_owned()),
            },
        };
        // A long poll may have lasted into an outage.
        let (status, body) = match self.mode() {
            StoreMode::Busy => (503, "{}".to_owned()),
            StoreMode::Sound => (status, body),
        };
        let headers = [("content-type", "application/json"), ("Store-Era", "1")];
        write_answer(stream, status, &headers, body.as_bytes())?;
        Ok(true)
    }

    fn mode(&self) -> StoreMode {
        self.rows.lock().unwrap().mode.unwrap_or(StoreMode::Sound)
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn read(&self, request: &Request) -> String {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, target) = (request.query("from"), request.query("target"));
        let rows = self.rows.lock().unwrap();
        let found = rows.rows.iter().filter(|((known, its_part, key), _)| {
            *known == table && *its_part == part && *key >= from && (target.is_empty() || *key < target)
        });
        let texts: Vec<String> = found
            .map(|(name, (value, version))| row_text(name, Some(value), *version))
            .collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowMs\":{}}}",
            texts.join(","),
            rows.version,
            self.now_ms()
        )
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes = rows.history.iter().filter(|(version, name, _)| *version > after && name.0 == table);
            let texts: Vec<String> = changes
                .map(|(version, name, value)| row_text(name, value.as_ref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !texts.is_empty() || left.is_zero() || rows.mode == Some(StoreMode::Busy) {
                let (version, now_ms) = (rows.version, self.now_ms());
                return format!("{{\"rows\":[{}],\"ver\":{version},\"nowMs\":{now_ms}}}", texts.join(","));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let Some(call) = Json::parse(&text) else {
            return (400, "{}".to_owned());
        };
        let name = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let mut rows = self.rows.lock().unwrap();
        let is_met = call.list("precondition").iter().all(|row| {
            let version = rows.rows.get(&name(row)).map_or(0, |(_, version)| *version);
            version as f64 == row.number("ver")
        });
        if !is_met {
            let (version, now_ms) = (rows.version, self.now_ms());
            return (412, format!("{{\"rows\":[],\"ver\":{version},\"nowMs\":{now_ms}}}"));
        }
        rows.version += 1;
        for row in call.list("writes") {
            rows.apply(name(row), Some(row.text("value")));
        }
        for row in call.list("remove") {
            rows.apply(name(row), None);
        }
        let (version, now_ms) = (rows.version, self.now_ms());
        drop(rows);
        self.changed.notify_all();
        (200, format!("{{\"ver\":{version},\"nowMs\":{now_ms}}}"))
    }
}

impl Rows {
    fn apply(&mut self, name: RowName, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(name.clone(), (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.history.push((self.version, name, value));
    }
}

fn row_text(name: &RowName, value: Option<&String>, version: u64) -> String {
    let (table, part, key) = name;
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{value},\"ver\":{version}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}
