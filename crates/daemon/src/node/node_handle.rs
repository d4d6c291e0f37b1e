use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dandelionroad_core::config::ConfigState;
use dandelionroad_core::ident::HostName;
use dandelionroad_core::ident::ZoneName;
use dandelionroad_core::member::MemberRecord;
use dandelionroad_core::member::MemberRole;
use dandelionroad_core::member::MemberState;
use dandelionroad_core::member::MemberTable;
use dandelionroad_messages::MAX_MESSAGE_BYTES;
use dandelionroad_settings::NodeRole;
use dandelionroad_settings::NodeSettings;
use jsonrpsee::RpcModule;
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tower::ServiceBuilder;
use tower::layer::layer_fn;

use crate::control;
use crate::control::ControlHandle;
use crate::endpoint;
use crate::entry;
use crate::entry::EntryServers;
use crate::entry::crash::CrashTracker;
use crate::entry::routing::CallLoads;
use crate::entry::routing::EntryLimits;
use crate::entry::routing::RoutingState;

use super::NodeClients;
use super::NodeClock;
use super::NodeContext;
use super::PeerPool;
use super::RequestCounter;
use super::StartError;
use super::cluster_guard::ClusterGuard;
use super::guarded_service::GuardedService;
use super::node_gauges::record_gauges;
use super::start_error::BindSnafu;
use super::start_error::NameSnafu;

/// The maximum number of connections to the internal listener.
const MAX_INTERNAL_CONNECTIONS: u32 = 10_000;

/// The minimum time for which an endpoint that shuts down refuses new work before it exits, in
/// milliseconds.
const LEAVE_NOTICE_MS: u64 = 500;

/// The time for which a drained process gossips its state `gone` before it exits, in milliseconds.
const GONE_NOTICE_MS: u64 = 100;

/// The listeners and tasks of one running process.
pub struct NodeHandle {
    /// The state that the tasks share.
    pub context: Arc<NodeContext>,
    /// The bound address of the internal listener.
    pub internal: SocketAddr,
    /// The bound address of the callers' listener; `None` at an endpoint.
    pub public: Option<SocketAddr>,
    /// The bound address of the administration listener; `None` at an endpoint.
    pub admin: Option<SocketAddr>,
    server: ServerHandle,
    entry: Option<EntryServers>,
}

impl NodeHandle {
    /// Binds the listeners and starts the tasks of the role.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if a listener can't be bound or a name is invalid.
    pub async fn start(
        settings: NodeSettings,
        clients: NodeClients,
    ) -> Result<NodeHandle, StartError> {
        let listener = bind(settings.internal_listen).await?;
        let internal = listener.local_addr().context(BindSnafu {
            address: "internal",
        })?;
        let callers = match settings.role {
            NodeRole::Entry => Some((
                bind(settings.public_listen).await?,
                bind(settings.admin_listen).await?,
            )),
            NodeRole::Endpoint => None,
        };
        let context = Arc::new(new_context(settings, clients, internal)?);
        let methods = new_methods(&context)?;
        let server = serve_internal(listener, methods, &context.settings.cluster)?;
        control::start(&context);
        tokio::spawn(record_gauges(context.clone()));
        let mut handle = NodeHandle {
            context,
            internal,
            public: None,
            admin: None,
            server,
            entry: None,
        };
        match callers {
            Some((public, admin)) => {
                handle.public = public.local_addr().ok();
                handle.admin = admin.local_addr().ok();
                handle.entry = Some(entry::start(&handle.context, public, admin));
            }
            None => endpoint::start(&handle.context),
        }
        Ok(handle)
    }

    /// Drains the process without cutting off any request, and returns when it may exit.
    ///
    /// An entry fails its readiness check, goes on serving for `drain_notice_ms`, and then closes
    /// its listeners and waits for the last request. An endpoint refuses new work, finishes the
    /// requests in progress, and keeps answering refusals for at least 500 ms, so that the entries
    /// learn that it is leaving.
    pub async fn shutdown(&self) {
        self.context.advance_state(MemberState::Leaving);
        let settings = &self.context.settings;
        let notice_ms = match settings.role {
            NodeRole::Entry => settings.drain_notice_ms,
            NodeRole::Endpoint => LEAVE_NOTICE_MS,
        };
        tokio::time::sleep(Duration::from_millis(notice_ms)).await;
        if let Some(entry) = &self.entry {
            entry.close().await;
        }
        self.context.requests.wait_idle().await;
        self.context.advance_state(MemberState::Gone);
        tokio::time::sleep(Duration::from_millis(GONE_NOTICE_MS)).await;
        self.abort();
        self.server.clone().stopped().await;
    }

    /// Closes the listeners with their connections and stops the gossip at once.
    pub fn abort(&self) {
        self.context.control.abort();
        if let Some(entry) = &self.entry {
            entry.abort();
        }
        // Fails only if the server has already stopped.
        let _ = self.server.stop();
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.context(BindSnafu {
        address: address.to_string(),
    })
}

fn new_context(
    settings: NodeSettings,
    clients: NodeClients,
    internal: SocketAddr,
) -> Result<NodeContext, StartError> {
    let clock = NodeClock::start();
    let record = MemberRecord {
        name: settings.name.clone(),
        role: match settings.role {
            NodeRole::Entry => MemberRole::Entry,
            NodeRole::Endpoint => MemberRole::Endpoint,
        },
        host: HostName::parse(&settings.host).context(NameSnafu)?,
        zone: ZoneName::parse(&settings.zone).context(NameSnafu)?,
        address: internal.to_string(),
        incarnation: clock.now().as_millis(),
        state: MemberState::Live,
        sequence: 0,
        held: None,
    };
    let mut table = MemberTable::new();
    table.merge(&record);
    Ok(NodeContext {
        routing: RoutingState::new(&settings.name, rand::random()),
        limits: EntryLimits::new(),
        call_loads: CallLoads::new(rand::random()),
        crash_tracker: CrashTracker::new(),
        peers: PeerPool::new(&settings.cluster),
        settings,
        clock,
        clients,
        requests: RequestCounter::new(),
        local_record: watch::Sender::new(record),
        config: watch::Sender::new(Arc::new(ConfigState::new())),
        members: watch::Sender::new(Arc::new(table)),
        crashes: watch::Sender::default(),
        control: ControlHandle::new(),
    })
}

fn new_methods(context: &Arc<NodeContext>) -> Result<RpcModule<()>, StartError> {
    let mut methods = RpcModule::new(());
    let mut merge = |part: RpcModule<()>| {
        methods.merge(part).map_err(|error| StartError::Method {
            detail: error.to_string(),
        })
    };
    merge(control::methods(context))?;
    if context.settings.role == NodeRole::Endpoint {
        merge(endpoint::methods(context))?;
    }
    Ok(methods)
}

fn serve_internal(
    listener: TcpListener,
    methods: RpcModule<()>,
    cluster: &str,
) -> Result<ServerHandle, StartError> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_INTERNAL_CONNECTIONS)
        .build();
    let listener = listener.into_std().context(BindSnafu {
        address: "internal",
    })?;
    let guard = Arc::new(ClusterGuard::new(cluster));
    let guarded = layer_fn(move |service| GuardedService::new(guard.clone(), service));
    let builder = ServerBuilder::with_config(config)
        .set_http_middleware(ServiceBuilder::new().layer(guarded));
    let server = builder.build_from_tcp(listener).context(BindSnafu {
        address: "internal",
    })?;
    Ok(server.start(methods))
}
