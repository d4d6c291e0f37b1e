//! An endpoint of a plain service, which registers itself in the store.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Request;
use crate::http::write_answer;
use crate::server::Server;
use crate::store::Store;

/// A request that reached an endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    /// The request's own identifier.
    pub request: String,
    /// Whether the endpoint ran it.
    pub is_run: bool,
}

/// An endpoint that runs each request for a fixed time.
pub struct Endpoint {
    pub id: String,
    pub born: u64,
    service: String,
    zone: String,
    pub arrivals: Mutex<Vec<Arrival>>,
    server: Mutex<Option<Server>>,
}

impl Endpoint {
    /// Starts an endpoint and registers it.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        zone: &str,
        host: Ipv4Addr,
        work: Duration,
    ) -> Arc<Endpoint> {
        let endpoint = Arc::new(Endpoint {
            id: id.to_owned(),
            born: unix_ms(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            arrivals: Mutex::default(),
            server: Mutex::default(),
        });
        let own = Arc::clone(&endpoint);
        let handler = move |request: &Request, stream: &mut TcpStream| own.answer(request, stream, work);
        let server = Server::start(SocketAddr::from((host, 0)), Arc::new(handler));
        *endpoint.server.lock().unwrap() = Some(server.expect("a free port for an endpoint"));
        store.put("servers", id, &endpoint.row("ready"));
        endpoint
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.server.lock().unwrap().as_ref().unwrap().address()
    }

    /// Returns its row in a state.
    pub fn row(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":0,\"born\":{}}}",
            self.service,
            self.address(),
            self.zone,
            self.born
        )
    }

    /// Ends its process.
    pub fn stop(&self) {
        if let Some(server) = self.server.lock().unwrap().as_ref() {
            server.stop();
        }
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream, work: Duration) -> std::io::Result<bool> {
        let id = request.header("x-request-id");
        let expected = request.header("x-expect-instance");
        let is_run = expected == self.id;
        self.arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            request: id.clone(),
            is_run,
        });
        if !is_run {
            let headers = [("X-Request-Id", id.as_str()), ("X-Instance-Id", self.id.as_str())];
            write_answer(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        std::thread::sleep(work);
        let signature = format!("{}.{id}", self.id);
        let headers = [("X-Request-Id", id.as_str()), ("X-Response-Signature", signature.as_str())];
        write_answer(stream, 200, &headers, b"landed")?;
        Ok(true)
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
