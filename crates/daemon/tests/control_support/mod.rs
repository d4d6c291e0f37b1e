//! Nodes on loopback with stand-ins for table service and host list, for tests of the control
//! plane.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dandelionroad_clients::host::HostEntry;
use dandelionroad_clients::host::HttpHost;
use dandelionroad_clients::object::HttpObject;
use dandelionroad_clients::table::HttpTable;
use dandelionroad_core::config::ConfigState;
use dandelionroad_core::member::MemberRole;
use dandelionroad_core::member::MemberTable;
use dandelionroad_daemon::node::NodeClients;
use dandelionroad_daemon::node::NodeHandle;
use dandelionroad_settings::EngineKind;
use dandelionroad_settings::NodeSettings;
use dandelionroad_standins::host::HostStandin;
use dandelionroad_standins::table::TableStandin;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout of a condition; only a failing test waits that long.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// The token of the administration API.
pub(crate) const TOKEN: &str = "admin-token";

/// The stand-ins and the nodes started beside them.
pub(crate) struct ControlSystem {
    pub(crate) table: TableStandin,
    pub(crate) hosts: HostStandin,
    pub(crate) nodes: Vec<NodeHandle>,
    /// The name of the cluster, unlike those of other tests, which may get a port of this one.
    pub(crate) cluster: String,
}

impl ControlSystem {
    /// Starts the stand-ins without any node.
    pub(crate) async fn start() -> ControlSystem {
        let table = TableStandin::start(any_port()).await.unwrap();
        let port = table.url().rsplit(':').next().unwrap().to_owned();
        ControlSystem {
            table,
            hosts: HostStandin::start(any_port()).await.unwrap(),
            nodes: Vec::new(),
            cluster: format!("test-{port}"),
        }
    }

    /// Starts a node and adds it to the host list.
    pub(crate) async fn add(&mut self, settings: NodeSettings) {
        let deadline = Duration::from_secs(1);
        let clients = NodeClients {
            table: Arc::new(HttpTable::new(&self.table.url(), deadline)),
            object: Arc::new(HttpObject::new(&self.table.url(), deadline)),
            host: Arc::new(HttpHost::new(&self.hosts.url(), deadline)),
            engine: None,
            service: None,
        };
        let settings = NodeSettings {
            cluster: self.cluster.clone(),
            ..settings
        };
        let handle = NodeHandle::start(settings, clients).await.unwrap();
        let record = handle.context.local_record.borrow().clone();
        self.hosts.change(|list| {
            list.retain(|entry| entry.name != record.name);
            list.push(HostEntry {
                name: record.name,
                role: record.role,
                host: record.host.to_string(),
                zone: record.zone.to_string(),
                address: record.address,
                leaving: false,
            });
        });
        self.nodes.push(handle);
    }

    /// Sends a request to the administration API of a node and returns status and body.
    pub(crate) async fn send_admin_request(
        &self,
        node: usize,
        head: &str,
        body: &str,
    ) -> (u16, Value) {
        let address = self.nodes[node].admin.unwrap();
        request(address, head, TOKEN, body).await
    }

    /// Waits until the configuration of a node fulfils `check`.
    pub(crate) async fn wait_for_config(&self, node: usize, check: impl Fn(&ConfigState) -> bool) {
        let context = &self.nodes[node].context;
        let mut config = context.config.subscribe();
        let waiting = config.wait_for(|config| check(config));
        let result = timeout(CONDITION_TIMEOUT, waiting).await.map(|_| ());
        let revision = context.config.borrow().revision;
        let name = &context.settings.name;
        assert!(
            result.is_ok(),
            "{name} did not reach the configuration; it is at revision {revision}"
        );
    }

    /// Waits until the members known to a node fulfil `check`.
    pub(crate) async fn wait_for_members(&self, node: usize, check: impl Fn(&MemberTable) -> bool) {
        let context = &self.nodes[node].context;
        let mut members = context.members.subscribe();
        let waiting = members.wait_for(|members| check(members));
        let result = timeout(CONDITION_TIMEOUT, waiting).await.map(|_| ());
        let known = context.members.borrow().clone();
        let name = &context.settings.name;
        assert!(
            result.is_ok(),
            "{name} did not reach the members; it knows {known:?}"
        );
    }
}

/// Returns the settings of an entry with the admin token.
pub(crate) fn entry_settings(name: &str) -> NodeSettings {
    NodeSettings {
        admin_token: TOKEN.to_owned(),
        ..NodeSettings::entry(name)
    }
}

/// Returns the settings of an endpoint.
pub(crate) fn endpoint_settings(name: &str) -> NodeSettings {
    NodeSettings::endpoint(name, EngineKind::PlainService, "")
}

/// Returns whether exactly so many entries and endpoints are live.
///
/// Members known only from the host list (incarnation 0) are not counted.
pub(crate) fn has_live_members(members: &MemberTable, entries: usize, endpoints: usize) -> bool {
    let live = |role| members.live(role).filter(|record| record.incarnation > 0);
    live(MemberRole::Entry).count() == entries && live(MemberRole::Endpoint).count() == endpoints
}

/// Returns a ticket that sets the service `booking` with one endpoint.
pub(crate) fn service_ticket(number: u64, endpoint: &str) -> String {
    format!(
        r#"{{"number":{number},"services":[{{"name":"booking","idempotent":false,"endpoints":["{endpoint}"]}}]}}"#
    )
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Sends an HTTP request such as `GET /path` and returns status and JSON body.
pub(crate) async fn request(
    address: SocketAddr,
    head: &str,
    token: &str,
    body: &str,
) -> (u16, Value) {
    let length = body.len();
    let text = format!(
        "{head} HTTP/1.1\r\nhost: test\r\nconnection: close\r\nauthorization: Bearer {token}\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let status = answer[9..12].parse().unwrap();
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    (status, serde_json::from_str(body).unwrap_or(Value::Null))
}
