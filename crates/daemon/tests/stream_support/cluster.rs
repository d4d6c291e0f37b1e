use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dandelionroad_clients::ClientFuture;
use dandelionroad_clients::PlatformError;
use dandelionroad_clients::engine::EngineClient;
use dandelionroad_clients::host::HostClient;
use dandelionroad_clients::host::HostEntry;
use dandelionroad_clients::object::ObjectClient;
use dandelionroad_clients::table::CommitReply;
use dandelionroad_clients::table::TableClient;
use dandelionroad_clients::table::TableCommit;
use dandelionroad_clients::table::TableRow;
use dandelionroad_core::config::AccountSpec;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::config::ModelSpec;
use dandelionroad_core::config::PoolMember;
use dandelionroad_core::config::PoolSpec;
use dandelionroad_core::ident::AccountName;
use dandelionroad_core::ident::EndpointName;
use dandelionroad_core::ident::ModelName;
use dandelionroad_core::ident::PoolName;
use dandelionroad_core::member::MemberTable;
use dandelionroad_daemon::node::NodeClients;
use dandelionroad_daemon::node::NodeHandle;
use dandelionroad_settings::EngineKind;
use dandelionroad_settings::NodeRole;
use dandelionroad_settings::NodeSettings;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

use super::EngineMode;
use super::FakeEngine;
use super::LAYERS;
use super::LinkProxy;
use super::MemoryTable;

/// The secret of the client account.
pub(crate) const SECRET: &str = "rope";

/// One endpoint: its node, its engine and the link through which others reach it.
pub(crate) struct TestStage {
    pub(crate) name: String,
    pub(crate) range: (u16, u16),
    pub(crate) engine: Arc<FakeEngine>,
    pub(crate) link: Arc<LinkProxy>,
    pub(crate) node: NodeHandle,
}

impl TestStage {
    /// Stops the endpoint at once, with its link and its engine.
    pub(crate) fn kill(&self) {
        self.link.kill();
        self.freeze_engine();
        self.node.abort();
    }

    /// Holds back all data of the link and all calls to the engine.
    pub(crate) fn freeze(&self) {
        self.link.set_frozen(true);
        self.freeze_engine();
    }

    /// Resumes a frozen endpoint: its link and its engine.
    pub(crate) fn unfreeze(&self) {
        self.engine.mode.send_replace(EngineMode::Running);
        self.link.set_frozen(false);
    }

    pub(crate) fn is_killed(&self) -> bool {
        self.link.is_killed()
    }

    /// Fails all calls to the engine from now on, and drops its sessions.
    pub(crate) fn crash_engine(&self) {
        self.engine.crash();
    }

    fn freeze_engine(&self) {
        self.engine.mode.send_replace(EngineMode::Frozen);
    }
}

/// An entry and endpoints in one process, connected through links.
pub(crate) struct TestCluster {
    pub(crate) entry: NodeHandle,
    /// The table service of the entry.
    pub(crate) table: Arc<MemoryTable>,
    pub(crate) stages: Vec<TestStage>,
}

impl TestCluster {
    /// Starts an endpoint for each layer range and an entry that knows them.
    ///
    /// `delay` is the one-way delay of the links; the model ends its answer after `end_at` tokens.
    pub(crate) async fn start(
        ranges: &[(u16, u16)],
        step_time: Duration,
        delay: Duration,
        end_at: u32,
    ) -> TestCluster {
        TestCluster::start_with_table(ranges, step_time, delay, end_at, Arc::default()).await
    }

    /// Starts a cluster whose entry uses a table service that may hold rows of an earlier one.
    pub(crate) async fn start_with_table(
        ranges: &[(u16, u16)],
        step_time: Duration,
        delay: Duration,
        end_at: u32,
        table: Arc<MemoryTable>,
    ) -> TestCluster {
        // Unlike the names of other tests, which may get a port of this one.
        let cluster_name = format!("test-{:016x}", rand::random::<u64>());
        let mut stages = Vec::new();
        for (index, range) in ranges.iter().enumerate() {
            let name = format!("stage-{index}");
            let engine = FakeEngine::new(step_time, end_at);
            let kind = if *range == (0, LAYERS) {
                EngineKind::WholeModel
            } else {
                EngineKind::LayerRange
            };
            let settings = settings(&cluster_name, &name, NodeRole::Endpoint, kind);
            let clients = clients(Some(engine.clone()));
            let node = NodeHandle::start(settings, clients).await.unwrap();
            let link = LinkProxy::start(node.internal, delay).await;
            stages.push(TestStage {
                name,
                range: *range,
                engine,
                link,
                node,
            });
        }
        let settings = settings(
            &cluster_name,
            "entry-0",
            NodeRole::Entry,
            EngineKind::LayerRange,
        );
        let mut clients = clients(None);
        clients.table = table.clone();
        let entry = NodeHandle::start(settings, clients).await.unwrap();
        let cluster = TestCluster {
            entry,
            table,
            stages,
        };
        cluster.install_config();
        cluster
    }

    /// Sets configuration and members at all nodes, with the addresses of the links.
    fn install_config(&self) {
        let mut table = MemberTable::new();
        table.merge(&self.entry.context.local_record.borrow());
        for stage in &self.stages {
            let mut record = stage.node.context.local_record.borrow().clone();
            record.address = stage.link.address.to_string();
            table.merge(&record);
        }
        let endpoints = self.stages.iter().map(|stage| PoolMember {
            name: EndpointName::parse(&stage.name).unwrap(),
            first_layer: stage.range.0,
            end_layer: stage.range.1,
            tokens_per_second: 100,
        });
        let mut config = ConfigState::new();
        config.revision = 1;
        config.models = vec![ModelSpec {
            name: model_name(),
            version: 1,
            layers: LAYERS,
            weights: "palm-1".to_owned(),
        }];
        config.pools = vec![PoolSpec {
            name: PoolName::parse("pool").unwrap(),
            model: model_name(),
            version: 1,
            min_ready: 1,
            endpoints: endpoints.collect(),
        }];
        let digest = Sha256::digest(SECRET);
        config.accounts = vec![AccountSpec {
            name: AccountName::parse("cordeleria").unwrap(),
            secret_sha256: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
            units_per_second: 1_000_000,
            burst_units: 1_000_000,
            weight: 1,
            priority: 0,
            services: Vec::new(),
            models: vec![model_name()],
        }];
        let nodes = self.stages.iter().map(|stage| &stage.node);
        for node in nodes.chain([&self.entry]) {
            node.context.members.send_replace(Arc::new(table.clone()));
            node.context.config.send_replace(Arc::new(config.clone()));
        }
    }

    /// Returns the indices of the endpoints that hold a session, in the order of their layers.
    pub(crate) fn route(&self) -> Vec<usize> {
        let running = self.stages.iter().enumerate();
        let running = running.filter(|(_, stage)| {
            let is_up = !stage.is_killed() && *stage.engine.mode.borrow() == EngineMode::Running;
            is_up && stage.engine.session_count() > 0
        });
        let mut route: Vec<_> = running.map(|(index, stage)| (stage.range, index)).collect();
        route.sort_unstable();
        route.into_iter().map(|(_, index)| index).collect()
    }

    /// Sends a completion request.
    pub(crate) async fn complete(
        &self,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
    ) -> Response<Incoming> {
        let body = json!({
            "model": "palm", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
        });
        self.post("/v1/completions", body.to_string()).await
    }

    /// Sends a POST request to the entry.
    pub(crate) async fn post(&self, path: &str, body: String) -> Response<Incoming> {
        let address = self.entry.public.unwrap();
        let request = Request::post(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {SECRET}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .unwrap();
        // Without pooling, dropping the response closes the connection.
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        client.request(request).await.unwrap()
    }
}

/// Polls a condition until it holds; panics after 20 s, which only a failing test takes.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let polling = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(20), polling).await;
    result.expect("the condition holds within 20 s");
}

/// Reads the server-sent events of an answer one by one.
pub(crate) struct EventReader {
    body: Incoming,
    text: String,
}

impl EventReader {
    pub(crate) fn new(response: Response<Incoming>) -> EventReader {
        assert_eq!(response.status(), 200);
        EventReader {
            body: response.into_body(),
            text: String::new(),
        }
    }

    /// Returns the next event, or `None` at the end of the body.
    pub(crate) async fn next(&mut self) -> Option<String> {
        loop {
            if let Some((event, rest)) = self.text.split_once("\n\n") {
                let event = event.to_owned();
                self.text = rest.to_owned();
                return Some(event);
            }
            let frame = self.body.frame().await?.ok()?;
            let data = frame.into_data().unwrap_or_default();
            self.text.push_str(std::str::from_utf8(&data).unwrap());
        }
    }

    /// Returns the text of the next token, or `None` if the next event is not a token.
    pub(crate) async fn next_token(&mut self) -> Option<String> {
        let event = self.next().await?;
        let data = event.strip_prefix("data: ")?;
        let chunk: serde_json::Value = serde_json::from_str(data).ok()?;
        let choice = &chunk["choices"][0];
        let text = choice["text"].as_str()?;
        choice["finish_reason"].is_null().then(|| text.to_owned())
    }
}

fn model_name() -> ModelName {
    ModelName::parse("palm").unwrap()
}

fn settings(cluster: &str, name: &str, role: NodeRole, kind: EngineKind) -> NodeSettings {
    NodeSettings {
        cluster: cluster.to_owned(),
        role,
        host: format!("host-{name}"),
        zone: "talca".to_owned(),
        engine_kind: kind,
        admin_token: "admin".to_owned(),
        queue_units: 1_000_000,
        concurrency: 64,
        drain_notice_ms: 0,
        request_deadline_ms: 20_000,
        ..NodeSettings::entry(name)
    }
}

fn clients(engine: Option<Arc<FakeEngine>>) -> NodeClients {
    NodeClients {
        table: Arc::new(UnreachablePlatform),
        object: Arc::new(UnreachablePlatform),
        host: Arc::new(UnreachablePlatform),
        engine: engine.map(|engine| engine as Arc<dyn EngineClient>),
        service: None,
    }
}

/// Outside systems that can't be reached.
struct UnreachablePlatform;

fn unreachable_result<'a, T: Send + 'a>() -> ClientFuture<'a, T> {
    Box::pin(async {
        Err(PlatformError::Unreachable {
            system: "platform",
            detail: "down".to_owned(),
        })
    })
}

impl TableClient for UnreachablePlatform {
    fn commit<'a>(&'a self, _commit: &'a TableCommit) -> ClientFuture<'a, CommitReply> {
        unreachable_result()
    }

    fn read<'a>(&'a self, _key: &'a str) -> ClientFuture<'a, Option<TableRow>> {
        unreachable_result()
    }

    fn scan<'a>(
        &'a self,
        _prefix: &'a str,
        _after: &'a str,
        _limit: u32,
    ) -> ClientFuture<'a, Vec<TableRow>> {
        unreachable_result()
    }
}

impl ObjectClient for UnreachablePlatform {
    fn put<'a>(&'a self, _key: &'a str, _content: Bytes) -> ClientFuture<'a, ()> {
        unreachable_result()
    }

    fn get<'a>(&'a self, _key: &'a str) -> ClientFuture<'a, Option<Bytes>> {
        unreachable_result()
    }
}

impl HostClient for UnreachablePlatform {
    fn list(&self) -> ClientFuture<'_, Vec<HostEntry>> {
        unreachable_result()
    }
}
