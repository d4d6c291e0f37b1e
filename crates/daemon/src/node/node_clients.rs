use std::sync::Arc;
use std::time::Duration;

use dandelionroad_clients::engine::EngineClient;
use dandelionroad_clients::engine::HttpEngine;
use dandelionroad_clients::host::HostClient;
use dandelionroad_clients::host::HttpHost;
use dandelionroad_clients::object::HttpObject;
use dandelionroad_clients::object::ObjectClient;
use dandelionroad_clients::service::HttpService;
use dandelionroad_clients::service::ServiceClient;
use dandelionroad_clients::table::HttpTable;
use dandelionroad_clients::table::TableClient;
use dandelionroad_settings::EngineKind;
use dandelionroad_settings::NodeRole;
use dandelionroad_settings::NodeSettings;

/// The clients of the outside systems that a process calls.
#[derive(Clone)]
pub struct NodeClients {
    /// Reads and commits rows of the table service.
    pub table: Arc<dyn TableClient>,
    /// Stores and reads objects of the object store.
    pub object: Arc<dyn ObjectClient>,
    /// Reads the host list.
    pub host: Arc<dyn HostClient>,
    /// The model engine that an endpoint serves; `None` for entries and plain services.
    pub engine: Option<Arc<dyn EngineClient>>,
    /// The plain service that an endpoint serves; `None` for entries and model engines.
    pub service: Option<Arc<dyn ServiceClient>>,
}

impl NodeClients {
    /// Creates HTTP clients for the URLs of the settings, without opening a connection.
    pub fn from_settings(settings: &NodeSettings) -> NodeClients {
        let deadline = Duration::from_millis(settings.platform_deadline_ms);
        let mut clients = NodeClients {
            table: Arc::new(HttpTable::new(&settings.table_url, deadline)),
            object: Arc::new(HttpObject::new(&settings.object_url, deadline)),
            host: Arc::new(HttpHost::new(&settings.hosts_url, deadline)),
            engine: None,
            service: None,
        };
        let url = &settings.engine_url;
        match (settings.role, settings.engine_kind) {
            (NodeRole::Entry, _) => {}
            (NodeRole::Endpoint, EngineKind::LayerRange | EngineKind::WholeModel) => {
                let engine = HttpEngine::new(url, settings.platform_deadline_ms);
                clients.engine = Some(Arc::new(engine));
            }
            (NodeRole::Endpoint, EngineKind::PlainService) => {
                let deadline = Duration::from_millis(settings.request_deadline_ms);
                clients.service = Some(Arc::new(HttpService::new(url, deadline)));
            }
        }
        clients
    }
}
