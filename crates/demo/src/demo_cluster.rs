use std::net::SocketAddr;
use std::time::Duration;

use dandelionroad_clients::host::HostEntry;
use dandelionroad_daemon::node::NodeClients;
use dandelionroad_daemon::node::NodeHandle;
use dandelionroad_settings::EngineKind;
use dandelionroad_settings::NodeSettings;
use dandelionroad_standins::booking::BookingStandin;
use dandelionroad_standins::engine::EngineMode;
use dandelionroad_standins::engine::EngineOptions;
use dandelionroad_standins::engine::EngineStandin;
use dandelionroad_standins::host::HostStandin;
use dandelionroad_standins::load::CallerClient;
use dandelionroad_standins::object::ObjectStandin;
use dandelionroad_standins::table::TableStandin;
use snafu::ResultExt;

use super::ADMIN_TOKEN;
use super::DemoError;
use super::DemoOptions;
use super::MODEL;
use super::demo_error::NodeSnafu;
use super::demo_error::StandinSnafu;
use super::demo_ticket;

/// The interval between checks of a condition that is waited for, in milliseconds.
const POLL_MS: u64 = 10;

const TABLE_PORT: u16 = 8_100;
const OBJECT_PORT: u16 = 8_101;
const HOSTS_PORT: u16 = 8_102;
const BOOKING_PORT: u16 = 8_110;
const FIRST_ENGINE_PORT: u16 = 8_200;

// The ports of the first entry: for callers, for administration and for other nodes. The ports of each
// further entry are higher by 10. The internal ports of the endpoints start at
// `FIRST_INTERNAL_PORT` + 100.
const FIRST_ENTRY_PORT: u16 = 8_080;
const FIRST_ADMIN_PORT: u16 = 9_080;
const FIRST_INTERNAL_PORT: u16 = 7_400;

/// The running demonstration: stand-ins, entries and endpoints in one process.
pub struct DemoCluster {
    /// The options that it was started with.
    pub options: DemoOptions,
    /// The stand-in for the table service.
    pub table: TableStandin,
    /// The stand-in for the object store.
    pub object: ObjectStandin,
    /// The stand-in for the host list.
    pub hosts: HostStandin,
    /// The stand-in for the booking service, to which all booking endpoints forward.
    pub booking: BookingStandin,
    /// The engine stand-ins, in the order of the stages of the layout.
    pub engines: Vec<EngineStandin>,
    /// The entries, in the order of the layout.
    pub entries: Vec<NodeHandle>,
    /// The endpoints, in the order of the layout: stages first, then booking endpoints.
    pub endpoints: Vec<NodeHandle>,
}

impl DemoCluster {
    /// Starts the stand-ins and the nodes, and publishes the nodes on the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in or a node can't be started.
    pub async fn start(options: DemoOptions) -> Result<DemoCluster, DemoError> {
        let address = |port| listen_address(options.has_fixed_ports, port);
        let mut engines = Vec::new();
        for (index, (_, _, range)) in options.layout.stages.iter().enumerate() {
            let mut engine = EngineOptions::layer_range(MODEL, *range);
            engine.mode = options.mode;
            engine.listen = address(FIRST_ENGINE_PORT + index as u16);
            engine.step_us = options.step_us;
            engine.prompt_token_us = options.prompt_token_us;
            engines.push(EngineStandin::start(engine).await.context(StandinSnafu)?);
        }
        let table = TableStandin::start(address(TABLE_PORT)).await;
        let object = ObjectStandin::start(address(OBJECT_PORT)).await;
        let hosts = HostStandin::start(address(HOSTS_PORT)).await;
        let booking = BookingStandin::start(address(BOOKING_PORT)).await;
        let mut cluster = DemoCluster {
            table: table.context(StandinSnafu)?,
            object: object.context(StandinSnafu)?,
            hosts: hosts.context(StandinSnafu)?,
            booking: booking.context(StandinSnafu)?,
            engines,
            entries: Vec::new(),
            endpoints: Vec::new(),
            options,
        };
        for index in 0..cluster.options.layout.entries.len() {
            let entry = cluster.start_entry(index).await?;
            cluster.entries.push(entry);
        }
        for index in 0..cluster.endpoint_count() {
            let endpoint = cluster.start_endpoint(index).await?;
            cluster.endpoints.push(endpoint);
        }
        cluster.publish_hosts();
        Ok(cluster)
    }

    /// Applies the change ticket with the initial configuration at the first entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the administration API can't be reached or rejects the ticket.
    pub async fn apply_ticket(&self) -> Result<(), DemoError> {
        let url = format!("{}/admin/v1/tickets", self.admin_url(0));
        let ticket = demo_ticket(&self.options.layout).to_string();
        let client = CallerClient::new(ADMIN_TOKEN);
        match client.post(&url, &ticket).await {
            Ok((200..=299, _)) => Ok(()),
            Ok((_, detail)) | Err(detail) => Err(DemoError::Ticket { detail }),
        }
    }

    /// Waits until every node has a configuration and knows all other nodes.
    pub async fn wait_ready(&self) {
        let count = self.entries.len() + self.endpoints.len();
        for node in self.entries.iter().chain(&self.endpoints) {
            let is_ready = || {
                let has_config = node.context.config.borrow().revision > 0;
                has_config && node.context.members.borrow().records().len() >= count
            };
            while !is_ready() {
                tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
            }
        }
    }

    /// Starts the entry at `index` of the layout.
    ///
    /// # Errors
    ///
    /// Returns an error if the node can't be started.
    pub async fn start_entry(&self, index: usize) -> Result<NodeHandle, DemoError> {
        let (name, zone) = self.options.layout.entries[index];
        let port =
            |base: u16| listen_address(self.options.has_fixed_ports, base + 10 * index as u16);
        let settings = NodeSettings {
            zone: zone.to_owned(),
            public_listen: port(FIRST_ENTRY_PORT),
            admin_listen: port(FIRST_ADMIN_PORT),
            internal_listen: port(FIRST_INTERNAL_PORT),
            admin_token: ADMIN_TOKEN.to_owned(),
            drain_notice_ms: self.options.drain_notice_ms,
            ..NodeSettings::entry(name)
        };
        self.start_node(settings).await
    }

    /// Starts the endpoint at `index` of the layout, in which the endpoints of the stages come
    /// before those of the booking service.
    ///
    /// # Errors
    ///
    /// Returns an error if the node can't be started.
    pub async fn start_endpoint(&self, index: usize) -> Result<NodeHandle, DemoError> {
        let layout = &self.options.layout;
        let (name, zone, kind, url) = match layout.stages.get(index) {
            Some((name, zone, _)) => {
                let kind = match self.options.mode {
                    EngineMode::LayerRange => EngineKind::LayerRange,
                    EngineMode::WholeModel => EngineKind::WholeModel,
                };
                (*name, *zone, kind, self.engines[index].url())
            }
            None => {
                let (name, zone) = layout.bookings[index - layout.stages.len()];
                (name, zone, EngineKind::PlainService, self.booking.url())
            }
        };
        let port = FIRST_INTERNAL_PORT + 100 + index as u16;
        let settings = NodeSettings {
            zone: zone.to_owned(),
            internal_listen: listen_address(self.options.has_fixed_ports, port),
            ..NodeSettings::endpoint(name, kind, &url)
        };
        self.start_node(settings).await
    }

    /// Replaces the host list by the running nodes.
    pub fn publish_hosts(&self) {
        let nodes = self.entries.iter().chain(&self.endpoints);
        self.hosts.set(nodes.map(host_entry).collect());
    }

    /// Returns the base URLs of the callers' API.
    pub fn entry_urls(&self) -> Vec<String> {
        let addresses = self.entries.iter().filter_map(|entry| entry.public);
        addresses
            .map(|address| format!("http://{address}"))
            .collect()
    }

    /// Returns the base URL of the administration API of the entry at `index`.
    pub fn admin_url(&self, index: usize) -> String {
        let address = self.entries[index].admin;
        address.map_or_else(String::new, |address| format!("http://{address}"))
    }

    async fn start_node(&self, settings: NodeSettings) -> Result<NodeHandle, DemoError> {
        let settings = NodeSettings {
            cluster: cluster_name(&self.table.url()),
            table_url: self.table.url(),
            object_url: self.object.url(),
            hosts_url: self.hosts.url(),
            ..settings
        };
        let name = settings.name.clone();
        let clients = NodeClients::from_settings(&settings);
        let started = NodeHandle::start(settings, clients).await;
        started.context(NodeSnafu { name })
    }

    fn endpoint_count(&self) -> usize {
        self.options.layout.stages.len() + self.options.layout.bookings.len()
    }
}

fn host_entry(node: &NodeHandle) -> HostEntry {
    let own = node.context.local_record.borrow().clone();
    HostEntry {
        name: own.name,
        role: own.role,
        host: own.host.as_str().to_owned(),
        zone: own.zone.as_str().to_owned(),
        address: own.address,
        leaving: false,
    }
}

/// Returns the loopback address with `port`, or with a free port unless ports are fixed.
fn listen_address(is_fixed: bool, port: u16) -> SocketAddr {
    let port = if is_fixed { port } else { 0 };
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns a name that no other demonstration on this host has, from the port of its table service.
fn cluster_name(table_url: &str) -> String {
    let port = table_url.rsplit(':').next().unwrap_or_default();
    format!("demo-{port}")
}
