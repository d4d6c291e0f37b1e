//! A fake store, fake engines and callers on loopback, on one thread with the processes under test.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub(crate) mod answer_cut;
pub(crate) mod crash_engine;
pub(crate) mod fake_engine;
pub(crate) mod fake_store;
pub(crate) mod http_fake;
pub(crate) mod panic_point;
pub(crate) mod raw_engine;
pub(crate) mod scripted_engine;
pub(crate) mod test_routes;
pub(crate) mod test_wire;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_relay::node::RelayBounds;
use dandelionroad_relay::node::RelaySettings;
use dandelionroad_relay::node::RunningNode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

use self::fake_engine::FakeEngine;
use self::fake_store::FakeStore;
use self::http_fake::FakeResponse;
use self::http_fake::serve_fake;
use self::test_wire::MODEL_SERVICE;
use self::test_wire::PLAIN_SERVICE;
use self::test_wire::TestWire;

/// The time-out of [`wait_for`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The maximum age of the configuration with which keys are accepted, in milliseconds.
pub(crate) const KEY_AGE_MS: u64 = 2_500;

/// The availability zone of a process, and its address relative to those of the other zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NodePlace {
    /// Zone `a`, with lower addresses than zone `b`.
    ZoneA,
    /// Zone `b`.
    ZoneB,
}

/// What the store does with the calls of a process that it turns away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreFault {
    /// It answers with status 503.
    Rejects,
    /// It doesn't answer.
    Hangs,
}

/// A response that was read to its end, or to where it broke off.
#[derive(Debug)]
pub(crate) struct ReadResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    /// Whether the body ended regularly.
    pub(crate) is_complete: bool,
}

/// A fake deployment: a store with a configuration, and the means to start engines and processes.
pub(crate) struct World {
    pub(crate) store: Rc<FakeStore>,
    /// The number of calls that the store rejected.
    pub(crate) rejected_calls: Rc<Cell<u32>>,
    store_address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl World {
    /// Starts the store with a first configuration that has the key `k1`.
    pub(crate) async fn start() -> World {
        let world = World::start_unconfigured().await;
        world.configure(1, &["k1"]);
        world
    }

    /// Starts the store without a configuration.
    pub(crate) async fn start_unconfigured() -> World {
        let store = FakeStore::new();
        let own = Rc::clone(&store);
        let store_address = serve_fake(move |parts, body| {
            let store = Rc::clone(&own);
            async move {
                store
                    .answer(parts.method.as_str(), parts.uri.path(), &body)
                    .await
            }
        });
        World {
            store_address: store_address.await,
            store,
            rejected_calls: Rc::default(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Writes a configuration with the given keys.
    pub(crate) fn configure(&self, version: u64, keys: &[&str]) {
        let doc = json!({ "version": version, "keys": keys });
        self.store.put("config", "config", &doc);
    }

    /// Starts a model engine that holds a range of layers.
    pub(crate) async fn start_engine(&self, id: &str, layers: (u64, u64)) -> Rc<FakeEngine> {
        FakeEngine::start(&self.store, id, MODEL_SERVICE, layers).await
    }

    /// Starts an endpoint of the plain service.
    pub(crate) async fn start_endpoint(&self, id: &str) -> Rc<FakeEngine> {
        FakeEngine::start(&self.store, id, PLAIN_SERVICE, (0, 0)).await
    }

    /// Starts a process and waits until it is ready.
    pub(crate) async fn start_node(&self, name: &str) -> RunningNode {
        self.node_at_interval(name, 100).await
    }

    /// Starts a process with an interval for reading the list of engines, in milliseconds.
    pub(crate) async fn node_at_interval(&self, name: &str, list_interval_ms: u64) -> RunningNode {
        let place = NodePlace::ZoneA;
        self.start_node_with(name, place, list_interval_ms, self.store_address)
            .await
    }

    /// Starts a process whose calls the store rejects while the returned switch is set.
    pub(crate) async fn node_with_switch(&self, name: &str) -> (RunningNode, Rc<Cell<bool>>) {
        self.node_with_switch_at(name, NodePlace::ZoneA, 100).await
    }

    /// Starts such a process in a zone, with an interval for reading the list of engines, in milliseconds.
    pub(crate) async fn node_with_switch_at(
        &self,
        name: &str,
        place: NodePlace,
        list_interval_ms: u64,
    ) -> (RunningNode, Rc<Cell<bool>>) {
        self.node_with_fault(name, place, list_interval_ms, StoreFault::Rejects)
            .await
    }

    /// Starts such a process with a kind of fault that its calls to the store meet while the switch is set.
    pub(crate) async fn node_with_fault(
        &self,
        name: &str,
        place: NodePlace,
        list_interval_ms: u64,
        fault: StoreFault,
    ) -> (RunningNode, Rc<Cell<bool>>) {
        let is_rejected = Rc::new(Cell::new(false));
        let (store, switch) = (Rc::clone(&self.store), Rc::clone(&is_rejected));
        let count = Rc::clone(&self.rejected_calls);
        let address = serve_fake(move |parts, body| {
            let (store, switch) = (Rc::clone(&store), Rc::clone(&switch));
            let count = Rc::clone(&count);
            async move {
                // Long polls in progress are rejected as well.
                let cut = async {
                    while !switch.get() {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                };
                let path = parts.uri.path();
                tokio::select! {
                    biased;
                    () = cut => {
                        count.set(count.get() + 1);
                        if fault == StoreFault::Hangs {
                            std::future::pending::<()>().await;
                        }
                        FakeResponse::new(503, "")
                    }
                    answer = store.answer(parts.method.as_str(), path, &body) => answer,
                }
            }
        });
        let node = self.start_node_with(name, place, list_interval_ms, address.await);
        (node.await, is_rejected)
    }

    /// Returns whether a process knows the given number of usable engines.
    pub(crate) async fn knows_engines(&self, node: &RunningNode, count: usize) -> bool {
        self.has_metric_line(node, &format!("dandelionroad_engines_usable {count}"))
            .await
    }

    /// Returns whether the metrics of a process contain a line.
    pub(crate) async fn has_metric_line(&self, node: &RunningNode, line: &str) -> bool {
        let address = node.settings().metrics_address;
        let text = String::from_utf8(self.get(address, "/metrics", &[]).await.body).unwrap();
        text.lines().any(|found| found == line)
    }

    /// Returns the value of a metric of a process, 0 if there is none; `name` includes the labels and a space.
    pub(crate) async fn metric(&self, node: &RunningNode, name: &str) -> f64 {
        let address = node.settings().metrics_address;
        let text = String::from_utf8(self.get(address, "/metrics", &[]).await.body).unwrap();
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0.0, |value| value.parse().unwrap())
    }

    async fn start_node_with(
        &self,
        name: &str,
        place: NodePlace,
        list_interval_ms: u64,
        store: SocketAddr,
    ) -> RunningNode {
        let node = self.launch_node(name, place, list_interval_ms, store).await;
        let readiness = node.settings().readiness_address;
        wait_for("the process is ready", async || {
            self.get(readiness, "/", &[]).await.status == 200
        })
        .await;
        node
    }

    /// Starts a process of zone `a` that is not ready, as the store holds no configuration.
    pub(crate) async fn start_unready_node(&self, name: &str) -> RunningNode {
        self.launch_node(name, NodePlace::ZoneA, 660, self.store_address)
            .await
    }

    async fn launch_node(
        &self,
        name: &str,
        place: NodePlace,
        list_interval_ms: u64,
        store: SocketAddr,
    ) -> RunningNode {
        let (zone, free) = match place {
            NodePlace::ZoneA => ("a", "127.0.0.1:0"),
            NodePlace::ZoneB => ("b", "127.0.0.2:0"),
        };
        let free: SocketAddr = free.parse().unwrap();
        let settings = RelaySettings {
            name: name.to_owned(),
            zone: zone.to_owned(),
            capacity: 500,
            caller_address: free,
            readiness_address: free,
            peer_address: free,
            metrics_address: free,
            store_address: store,
            bounds: RelayBounds {
                key_age_ms: KEY_AGE_MS,
                list_interval_ms,
                retry_percent: 100,
                retry_slack: 1_000,
                grace_ms: 8_000,
                memory_bytes: 96 * 1_024 * 1_024,
            },
        };
        RunningNode::start(settings, Box::new(TestWire))
            .await
            .unwrap()
    }

    /// Sends a request with the key `k1` and reads the whole response.
    pub(crate) async fn send(&self, node: &RunningNode, path: &str, id: &str) -> ReadResponse {
        let headers = [("host", "shop.example"), ("key", "k1"), ("request", id)];
        self.get(node.settings().caller_address, path, &headers)
            .await
    }

    /// Returns the address of the store.
    pub(crate) fn store_address(&self) -> SocketAddr {
        self.store_address
    }

    /// Returns a future that sends a request with the key `k1` and reads the response; returns its status, or 0.
    pub(crate) fn send_to(
        &self,
        address: SocketAddr,
        path: &str,
        id: &str,
    ) -> impl Future<Output = u16> + use<> {
        let headers = [("host", "shop.example"), ("key", "k1"), ("request", id)];
        let sent = self.client.request(build_request(address, path, &headers));
        async move {
            match sent.await {
                Ok(response) => read(response).await.status,
                Err(_) => 0,
            }
        }
    }

    /// Sends a request with the key `k1` and returns the response once its head has arrived.
    pub(crate) async fn open(
        &self,
        node: &RunningNode,
        path: &str,
        id: &str,
    ) -> hyper::Response<Incoming> {
        let headers = [("host", "shop.example"), ("key", "k1"), ("request", id)];
        let request = build_request(node.settings().caller_address, path, &headers);
        self.client.request(request).await.unwrap()
    }

    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
    ) -> ReadResponse {
        let response = self
            .client
            .request(build_request(address, path, headers))
            .await
            .unwrap();
        read(response).await
    }
}

/// Reads a response to its end.
pub(crate) async fn read(response: hyper::Response<Incoming>) -> ReadResponse {
    let (parts, mut stream) = response.into_parts();
    let mut body = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = stream.frame().await {
        match frame {
            Ok(frame) => body.extend(frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    ReadResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
        is_complete,
    }
}

/// Reads the head of a response, or what has arrived before the connection was closed.
pub(crate) async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut buffer = [0; 1_024];
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => head.extend_from_slice(&buffer[..length]),
            _ => break,
        }
    }
    String::from_utf8(head).unwrap()
}

/// Runs a test on a single-threaded runtime.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

/// Waits until a condition holds, and fails the test after a time-out.
pub(crate) async fn wait_for(condition: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(result.is_ok(), "timed out waiting for: {condition}");
}

fn build_request(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
) -> Request<Full<Bytes>> {
    let mut request = Request::builder().uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::default()).unwrap()
}
