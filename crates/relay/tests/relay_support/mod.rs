//! A store, engines and callers on loopback, in one thread with the processes under test.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

pub(crate) mod fake_engine;
pub(crate) mod fake_store;
pub(crate) mod http_fake;
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
use tokio::task::LocalSet;

use self::fake_engine::FakeEngine;
use self::fake_store::FakeStore;
use self::http_fake::FakeAnswer;
use self::http_fake::serve_fake;
use self::test_wire::MODEL_SERVICE;
use self::test_wire::PLAIN_SERVICE;
use self::test_wire::TestWire;

/// The longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(20);

/// The greatest age of the configuration with which keys are accepted, in milliseconds.
pub(crate) const KEY_AGE_MS: u64 = 2_500;

/// Where a process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NodePlace {
    /// In zone `a`, with a lower address than the one in zone `b`.
    ZoneA,
    /// In zone `b`.
    ZoneB,
}

/// An answer that was read to its end, or to where it broke off.
#[derive(Debug)]
pub(crate) struct ReadAnswer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
    pub(crate) is_whole: bool,
}

/// A store with a configuration, and engines.
pub(crate) struct World {
    pub(crate) store: Rc<FakeStore>,
    /// The calls that the store turned away.
    pub(crate) turned_away: Rc<Cell<u32>>,
    store_address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl World {
    /// Starts the store with a first configuration that knows the key `k1`.
    pub(crate) async fn start() -> World {
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
        let world = World {
            store_address: store_address.await,
            store,
            turned_away: Rc::default(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        };
        world.configure(1, &["k1"]);
        world
    }

    /// Writes a configuration with these keys.
    pub(crate) fn configure(&self, version: u64, keys: &[&str]) {
        let doc = json!({ "version": version, "keys": keys });
        self.store.put("config", "config", &doc);
    }

    /// Starts a model engine that holds layers.
    pub(crate) async fn model(&self, id: &str, layers: (u64, u64)) -> Rc<FakeEngine> {
        FakeEngine::start(&self.store, id, MODEL_SERVICE, layers).await
    }

    /// Starts a plain endpoint.
    pub(crate) async fn plain(&self, id: &str) -> Rc<FakeEngine> {
        FakeEngine::start(&self.store, id, PLAIN_SERVICE, (0, 0)).await
    }

    /// Starts a process and waits until it is ready.
    pub(crate) async fn node(&self, name: &str) -> RunningNode {
        self.node_at_interval(name, 100).await
    }

    /// Starts a process that reads the list of engines at an interval in milliseconds.
    pub(crate) async fn node_at_interval(&self, name: &str, list_interval_ms: u64) -> RunningNode {
        let place = NodePlace::ZoneA;
        self.start_node(name, place, list_interval_ms, self.store_address)
            .await
    }

    /// Starts a process that the store turns away while the returned switch is set.
    pub(crate) async fn node_turned_away(&self, name: &str) -> (RunningNode, Rc<Cell<bool>>) {
        self.node_turned_away_at(name, NodePlace::ZoneA, 100).await
    }

    /// Starts such a process that reads the list of engines at an interval in milliseconds.
    pub(crate) async fn node_turned_away_at(
        &self,
        name: &str,
        place: NodePlace,
        list_interval_ms: u64,
    ) -> (RunningNode, Rc<Cell<bool>>) {
        let is_refused = Rc::new(Cell::new(false));
        let (store, switch) = (Rc::clone(&self.store), Rc::clone(&is_refused));
        let count = Rc::clone(&self.turned_away);
        let address = serve_fake(move |parts, body| {
            let (store, switch) = (Rc::clone(&store), Rc::clone(&switch));
            let count = Rc::clone(&count);
            async move {
                // Calls that wait for a change are cut off as well.
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
                        FakeAnswer::new(503, "")
                    }
                    answer = store.answer(parts.method.as_str(), path, &body) => answer,
                }
            }
        });
        let node = self.start_node(name, place, list_interval_ms, address.await);
        (node.await, is_refused)
    }

    /// Returns whether a process knows of this number of usable engines.
    pub(crate) async fn knows_engines(&self, node: &RunningNode, count: usize) -> bool {
        self.shows(node, &format!("dandelionroad_engines_usable {count}"))
            .await
    }

    /// Returns whether the metrics of a process have this line.
    pub(crate) async fn shows(&self, node: &RunningNode, line: &str) -> bool {
        let answer = self
            .get(node.settings().metrics_address, "/metrics", &[])
            .await;
        let text = String::from_utf8(answer.body).unwrap();
        text.lines().any(|shown| shown == line)
    }

    async fn start_node(
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
            },
        };
        let node = RunningNode::start(settings, Box::new(TestWire))
            .await
            .unwrap();
        let readiness = node.settings().readiness_address;
        wait_for("the process is ready", async || {
            self.get(readiness, "/", &[]).await.status == 200
        })
        .await;
        node
    }

    /// Sends a request with the key `k1` and reads the answer.
    pub(crate) async fn ask(&self, node: &RunningNode, path: &str, id: &str) -> ReadAnswer {
        let headers = [("host", "shop.example"), ("key", "k1"), ("request", id)];
        self.get(node.settings().caller_address, path, &headers)
            .await
    }

    /// Sends a request and returns the head of the answer.
    pub(crate) async fn open(
        &self,
        node: &RunningNode,
        path: &str,
        id: &str,
    ) -> hyper::Response<Incoming> {
        let headers = [("host", "shop.example"), ("key", "k1"), ("request", id)];
        let request = build(node.settings().caller_address, path, &headers);
        self.client.request(request).await.unwrap()
    }

    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
    ) -> ReadAnswer {
        let response = self
            .client
            .request(build(address, path, headers))
            .await
            .unwrap();
        read(response).await
    }
}

/// Reads an answer to its end.
pub(crate) async fn read(response: hyper::Response<Incoming>) -> ReadAnswer {
    let (parts, mut stream) = response.into_parts();
    let mut body = Vec::new();
    let mut is_whole = true;
    while let Some(frame) = stream.frame().await {
        match frame {
            Ok(frame) => body.extend(frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_whole = false;
                break;
            }
        }
    }
    ReadAnswer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
        is_whole,
    }
}

/// Runs a test on one thread.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

/// Waits until a condition holds.
pub(crate) async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let result = tokio::time::timeout(PATIENCE, wait).await;
    assert!(result.is_ok(), "waited in vain: {what}");
}

fn build(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut request = Request::builder().uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::default()).unwrap()
}
