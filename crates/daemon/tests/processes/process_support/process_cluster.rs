use std::future::Future;
use std::time::Duration;

use dandelionroad_clients::host::HostEntry;
use dandelionroad_core::member::MemberRole;
use dandelionroad_demo::ACCOUNT_SECRET;
use dandelionroad_demo::ADMIN_TOKEN;
use dandelionroad_demo::DemoLayout;
use dandelionroad_demo::MODEL;
use dandelionroad_demo::demo_ticket;
use dandelionroad_standins::booking::BookingStandin;
use dandelionroad_standins::engine::EngineOptions;
use dandelionroad_standins::engine::EngineStandin;
use dandelionroad_standins::host::HostStandin;
use dandelionroad_standins::load::CallerClient;
use dandelionroad_standins::object::ObjectStandin;
use dandelionroad_standins::table::TableStandin;
use serde_json::Value;

use super::NodeProcess;

/// The timeout of a condition; only a failing test waits that long.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// The processes of the demonstration's layout, and the stand-ins of their outside systems.
pub(crate) struct ProcessCluster {
    pub(crate) table: TableStandin,
    pub(crate) hosts: HostStandin,
    pub(crate) booking: BookingStandin,
    pub(crate) engines: Vec<EngineStandin>,
    pub(crate) entries: Vec<NodeProcess>,
    /// The endpoints of the stages, followed by those of the booking service.
    pub(crate) endpoints: Vec<NodeProcess>,
    /// The name of the cluster, unlike those of other tests, which may get a port of this one.
    cluster: String,
    object: ObjectStandin,
    layout: DemoLayout,
    step_deadline_ms: u64,
}

impl ProcessCluster {
    /// Starts stand-ins and processes, applies the first ticket and waits until all members are
    /// known.
    ///
    /// `step_us` is the duration of an engine step in microseconds.
    pub(crate) async fn start(step_us: u64) -> ProcessCluster {
        ProcessCluster::start_with_deadline(step_us, 500).await
    }

    /// Starts the cluster with a step deadline, after which a stage without progress is replaced.
    pub(crate) async fn start_with_deadline(step_us: u64, step_deadline_ms: u64) -> ProcessCluster {
        let any_port = ([127, 0, 0, 1], 0).into();
        let layout = DemoLayout::three_stages();
        let mut engines = Vec::new();
        for (_, _, range) in &layout.stages {
            let mut options = EngineOptions::layer_range(MODEL, *range);
            options.step_us = step_us;
            engines.push(EngineStandin::start(options).await.unwrap());
        }
        let mut cluster = ProcessCluster {
            table: TableStandin::start(any_port).await.unwrap(),
            object: ObjectStandin::start(any_port).await.unwrap(),
            hosts: HostStandin::start(any_port).await.unwrap(),
            booking: BookingStandin::start(any_port).await.unwrap(),
            engines,
            cluster: format!("test-{:016x}", rand::random::<u64>()),
            entries: Vec::new(),
            endpoints: Vec::new(),
            layout,
            step_deadline_ms,
        };
        for index in 0..cluster.layout.entries.len() {
            let entry = cluster.spawn_entry(index).await;
            cluster.entries.push(entry);
        }
        let count = cluster.layout.stages.len() + cluster.layout.bookings.len();
        for index in 0..count {
            let endpoint = cluster.spawn_endpoint(index).await;
            cluster.endpoints.push(endpoint);
        }
        cluster.publish_host_list();
        let url = format!("http://{}/admin/v1/tickets", cluster.entries[0].admin);
        let ticket = demo_ticket(&cluster.layout).to_string();
        let applied = CallerClient::new(ADMIN_TOKEN).post(&url, &ticket).await;
        assert!(matches!(applied, Ok((200, _))), "{applied:?}");
        for entry in 0..cluster.entries.len() {
            cluster.wait_until_ready(entry).await;
            for endpoint in 0..count {
                cluster.wait_until_live(entry, endpoint).await;
            }
        }
        cluster
    }

    /// Starts the process of an entry of the layout.
    pub(crate) async fn spawn_entry(&self, index: usize) -> NodeProcess {
        let (name, zone) = self.layout.entries[index];
        let any = "127.0.0.1:0";
        let args = [
            "entry",
            "--name",
            name,
            "--zone",
            zone,
            "--internal-listen",
            any,
        ];
        let more = ["--public-listen", any, "--admin-listen", any];
        let drain = ["--drain-notice-ms", "300"];
        NodeProcess::spawn(&[&args[..], &more, &drain].concat(), &self.variables()).await
    }

    /// Starts the process of an endpoint of the layout.
    pub(crate) async fn spawn_endpoint(&self, index: usize) -> NodeProcess {
        let stages = &self.layout.stages;
        let (name, zone, kind, url) = match stages.get(index) {
            Some((name, zone, _)) => (*name, *zone, "layer-range", self.engines[index].url()),
            None => {
                let (name, zone) = self.layout.bookings[index - stages.len()];
                (name, zone, "plain-service", self.booking.url())
            }
        };
        let listen = ["--internal-listen", "127.0.0.1:0"];
        let args = ["endpoint", "--name", name, "--zone", zone];
        let engine = ["--engine-kind", kind, "--engine-url", &url];
        NodeProcess::spawn(&[&args[..], &engine, &listen].concat(), &self.variables()).await
    }

    /// Sets the host list to the current processes.
    pub(crate) fn publish_host_list(&self) {
        let entry = |role, node: &NodeProcess, zone: &str| HostEntry {
            name: node.name.clone(),
            role,
            host: node.name.clone(),
            zone: zone.to_owned(),
            address: node.internal.clone(),
            leaving: false,
        };
        let entries = self.entries.iter().zip(&self.layout.entries);
        let entries = entries.map(|(node, (_, zone))| entry(MemberRole::Entry, node, zone));
        let stages = self.layout.stages.iter().map(|(_, zone, _)| *zone);
        let zones = stages.chain(self.layout.bookings.iter().map(|(_, zone)| *zone));
        let endpoints = self.endpoints.iter().zip(zones);
        let endpoints = endpoints.map(|(node, zone)| entry(MemberRole::Endpoint, node, zone));
        self.hosts.set(entries.chain(endpoints).collect());
    }

    /// Waits until the readiness check of an entry succeeds.
    pub(crate) async fn wait_until_ready(&self, entry: usize) {
        let url = format!("http://{}/readyz", self.entries[entry].public);
        wait_until("readiness", async || {
            let answer = CallerClient::new(ACCOUNT_SECRET).get(&url).await;
            matches!(answer, Ok((200, _)))
        })
        .await;
    }

    /// Waits until an entry reports the current process of an endpoint as live.
    pub(crate) async fn wait_until_live(&self, entry: usize, endpoint: usize) {
        let url = format!("http://{}/admin/v1/members", self.entries[entry].admin);
        let node = &self.endpoints[endpoint];
        wait_until("a live member", async || {
            let answer = CallerClient::new(ADMIN_TOKEN).get(&url).await;
            let body: Value =
                serde_json::from_str(&answer.unwrap_or_default().1).unwrap_or_default();
            let members = body["members"].as_array().cloned().unwrap_or_default();
            members.iter().any(|member| {
                let is_node = member["name"] == *node.name && member["address"] == *node.internal;
                is_node && member["state"] == "live"
            })
        })
        .await;
    }

    fn variables(&self) -> Vec<(&'static str, String)> {
        vec![
            ("DANDELIONROAD_CLUSTER", self.cluster.clone()),
            ("DANDELIONROAD_TABLE_URL", self.table.url()),
            ("DANDELIONROAD_OBJECT_URL", self.object.url()),
            ("DANDELIONROAD_HOSTS_URL", self.hosts.url()),
            ("DANDELIONROAD_ADMIN_TOKEN", ADMIN_TOKEN.to_owned()),
            (
                "DANDELIONROAD_STEP_DEADLINE_MS",
                self.step_deadline_ms.to_string(),
            ),
        ]
    }
}

/// Polls a condition until it holds; panics after [`CONDITION_TIMEOUT`].
pub(crate) async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(CONDITION_TIMEOUT, waiting).await;
    assert!(
        waited.is_ok(),
        "{what} was not reached within {CONDITION_TIMEOUT:?}"
    );
}
