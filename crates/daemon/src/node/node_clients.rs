use std::sync::Arc;

use dandelionroad_platform::engine::EngineClient;
use dandelionroad_platform::host::HostClient;
use dandelionroad_platform::object::ObjectClient;
use dandelionroad_platform::service::ServiceClient;
use dandelionroad_platform::table::TableClient;

/// The clients of the outside systems.
#[derive(Clone)]
pub struct NodeClients {
    /// The table service.
    pub table: Arc<dyn TableClient>,
    /// The object store.
    pub object: Arc<dyn ObjectClient>,
    /// The host list.
    pub host: Arc<dyn HostClient>,
    /// The engine beside an endpoint's process.
    pub engine: Option<Arc<dyn EngineClient>>,
    /// The plain service beside an endpoint's process.
    pub service: Option<Arc<dyn ServiceClient>>,
}
