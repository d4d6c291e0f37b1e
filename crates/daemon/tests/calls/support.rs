//! A cluster of entries, endpoints and stand-ins on loopback for the tests of calls to plain
//! services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_core::member::MemberRole;
use dandelionroad_daemon::node::NodeClients;
use dandelionroad_daemon::node::NodeContext;
use dandelionroad_daemon::node::NodeHandle;
use dandelionroad_settings::EngineKind;
use dandelionroad_settings::NodeSettings;
use dandelionroad_standins::booking::BookingStandin;
use dandelionroad_standins::host::HostStandin;
use dandelionroad_standins::object::ObjectStandin;
use dandelionroad_standins::table::TableStandin;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use tokio::runtime::Runtime;

/// The timeout of a wait for a condition; only reached by a failing test.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// The deadline of a caller's request, in milliseconds.
const REQUEST_DEADLINE_MS: u64 = 5_000;

/// The deadline of one call to the platform, in milliseconds.
const PLATFORM_DEADLINE_MS: u64 = 300;

const SECRET: &str = "rope";
const ADMIN_TOKEN: &str = "admin-token";

/// A running node with its own threads, so that it can be killed at any time.
pub(crate) struct TestNode {
    pub(crate) handle: NodeHandle,
    runtime: Option<Runtime>,
}

impl TestNode {
    /// Stops all tasks of the node immediately.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The response to a caller.
#[derive(Debug)]
pub(crate) struct CallerReply {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) reason: String,
    pub(crate) is_replayed: bool,
    pub(crate) has_retry_after: bool,
    pub(crate) body: Value,
}

/// The nodes and the stand-ins of the outside systems.
pub(crate) struct CallCluster {
    pub(crate) table: TableStandin,
    pub(crate) booking: BookingStandin,
    pub(crate) entries: Vec<TestNode>,
    pub(crate) endpoints: Vec<TestNode>,
    /// The name of the cluster, unlike those of other tests, which may get a port of this one.
    cluster: String,
    object: ObjectStandin,
    hosts: HostStandin,
    client: Client<hyper_util::client::legacy::connect::HttpConnector, Full<Bytes>>,
}

impl CallCluster {
    /// Starts entries and endpoints of the services `booking`, which is not idempotent, and
    /// `stock`, which is.
    pub(crate) async fn start(entries: usize, endpoints: usize) -> CallCluster {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut cluster = CallCluster {
            table: TableStandin::start(any_port).await.unwrap(),
            booking: BookingStandin::start(any_port).await.unwrap(),
            cluster: format!("test-{:016x}", rand::random::<u64>()),
            entries: Vec::new(),
            endpoints: Vec::new(),
            object: ObjectStandin::start(any_port).await.unwrap(),
            hosts: HostStandin::start(any_port).await.unwrap(),
            client: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .build_http(),
        };
        for index in 0..entries {
            let settings = NodeSettings::entry(&format!("entry-{index}"));
            let node = cluster.start_node(settings).await;
            cluster.entries.push(node);
        }
        for index in 0..endpoints {
            let node = cluster.start_endpoint(index).await;
            cluster.endpoints.push(node);
        }
        cluster.apply_ticket(endpoints).await;
        for entry in &cluster.entries {
            let context = &entry.handle.context;
            wait_until(context, "configuration", || {
                context.config.borrow().revision > 0
            })
            .await;
            wait_until(context, "endpoints", || {
                live_endpoint_count(context) == endpoints
            })
            .await;
        }
        cluster
    }

    /// Starts the node of endpoint `index`; each restart is a new incarnation.
    pub(crate) async fn start_endpoint(&self, index: usize) -> TestNode {
        let name = format!("endpoint-{index}");
        let url = self.booking.url();
        self.start_node(NodeSettings::endpoint(
            &name,
            EngineKind::PlainService,
            &url,
        ))
        .await
    }

    async fn start_node(&self, settings: NodeSettings) -> TestNode {
        let settings = NodeSettings {
            cluster: self.cluster.clone(),
            admin_token: ADMIN_TOKEN.to_owned(),
            table_url: self.table.url(),
            object_url: self.object.url(),
            hosts_url: self.hosts.url(),
            seeds: self
                .entries
                .iter()
                .map(|node| node.handle.internal.to_string())
                .collect(),
            request_deadline_ms: REQUEST_DEADLINE_MS,
            platform_deadline_ms: PLATFORM_DEADLINE_MS,
            ..settings
        };
        let clients = NodeClients::from_settings(&settings);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let start_task = runtime.spawn(NodeHandle::start(settings, clients));
        let handle = start_task.await.unwrap().unwrap();
        TestNode {
            handle,
            runtime: Some(runtime),
        }
    }

    async fn apply_ticket(&self, endpoints: usize) {
        let names: Vec<String> = (0..endpoints)
            .map(|index| format!("endpoint-{index}"))
            .collect();
        let digest = Sha256::digest(SECRET);
        let secret: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
        let ticket = json!({
            "number": 1,
            "services": [
                {"name": "booking", "idempotent": false, "endpoints": names,
                 "status_path": "/bookings/by-key"},
                {"name": "stock", "idempotent": true, "endpoints": names},
            ],
            "accounts": [{
                "name": "cordeleria", "secret_sha256": secret, "units_per_second": 1_000_000,
                "burst_units": 1_000_000, "weight": 1, "services": ["booking", "stock"],
            }],
        });
        let address = self.entries[0].handle.admin.unwrap();
        let request = Request::post(format!("http://{address}/admin/v1/tickets"))
            .header("authorization", format!("Bearer {ADMIN_TOKEN}"))
            .body(Full::new(Bytes::from(ticket.to_string())))
            .unwrap();
        let response = self.client.request(request).await.unwrap();
        assert_eq!(response.status(), 200);
    }

    /// Sends a booking with an idempotency key through an entry.
    pub(crate) async fn book(&self, entry: usize, key: &str) -> CallerReply {
        let body = r#"{"item":"hawser","quantity":2}"#;
        self.call(entry, "POST /services/booking/book", Some(key), body)
            .await
    }

    /// Sends a call such as `GET /services/stock/stock/hawser` through an entry.
    pub(crate) async fn call(
        &self,
        entry: usize,
        request_line: &str,
        key: Option<&str>,
        body: &str,
    ) -> CallerReply {
        let address = self.entries[entry].handle.public.unwrap();
        let (method, path) = request_line.split_once(' ').unwrap();
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {SECRET}"))
            .header("content-type", "application/json");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder
            .body(Full::new(Bytes::from(body.to_owned())))
            .unwrap();
        let response = self.client.request(request).await.unwrap();
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.map_or(String::new(), |value| value.to_str().unwrap().to_owned())
        };
        let (status, outcome) = (
            response.status().as_u16(),
            header("x-dandelionroad-outcome"),
        );
        let is_replayed = header("x-dandelionroad-replayed") == "true";
        let has_retry_after = !header("retry-after").is_empty();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let reason = body["error"]["reason"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        CallerReply {
            status,
            outcome,
            reason,
            is_replayed,
            has_retry_after,
            body,
        }
    }

    /// Returns how often the booking service ran the call with a caller's key.
    pub(crate) fn run_count(&self, key: &str) -> u32 {
        self.booking.runs(&format!("cordeleria:{key}"))
    }

    /// Waits until a condition holds; panics on a timeout, naming `what`.
    pub(crate) async fn wait_for(&self, what: &str, check: impl Fn() -> bool) {
        wait_until(&self.entries[0].handle.context, what, check).await;
    }
}

/// Returns the number of live endpoints known to a node.
///
/// Endpoints that it knows only from the host service have the incarnation 0 and are not counted.
pub(crate) fn live_endpoint_count(context: &NodeContext) -> usize {
    let members = context.members.borrow();
    let live = members.live(MemberRole::Endpoint);
    live.filter(|record| record.incarnation > 0).count()
}

async fn wait_until(context: &NodeContext, what: &str, check: impl Fn() -> bool) {
    let condition = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = tokio::time::timeout(CONDITION_TIMEOUT, condition).await;
    let name = &context.settings.name;
    assert!(
        result.is_ok(),
        "{name}: no {what} within {CONDITION_TIMEOUT:?}"
    );
}
