use std::net::SocketAddr;

use super::EngineKind;
use super::NodeRole;

/// The checked settings of one process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The role.
    pub role: NodeRole,
    /// The name of the endpoint or of the entry.
    pub name: String,
    /// The name of the host.
    pub host: String,
    /// The availability zone of the host.
    pub zone: String,
    /// The address of the internal listener; port 0 picks a free port.
    pub internal_listen: SocketAddr,
    /// The address of the callers' listener (role entry).
    pub public_listen: SocketAddr,
    /// The address of the administration listener (role entry).
    pub admin_listen: SocketAddr,
    /// The base URL of the table service.
    pub table_url: String,
    /// The base URL of the object store.
    pub object_url: String,
    /// The base URL of the host list.
    pub hosts_url: String,
    /// The base URL of the engine or plain service (role endpoint).
    pub engine_url: String,
    /// What stands beside the process (role endpoint).
    pub engine_kind: EngineKind,
    /// Internal addresses of other processes to contact besides those of the host list.
    pub seeds: Vec<String>,
    /// The secret of the administration API (role entry); never logged.
    pub admin_token: String,
    /// The greatest work in the queue of an endpoint, in work units.
    pub queue_units: u64,
    /// The greatest number of requests that an endpoint runs at once.
    pub concurrency: u32,
    /// The time without progress after which a stage is suspected, in milliseconds.
    pub step_deadline_ms: u64,
    /// The time between failed readiness and the earliest exit of a stopping entry, in milliseconds.
    pub drain_notice_ms: u64,
    /// The deadline of a request that names none, in milliseconds.
    pub request_deadline_ms: u64,
    /// The deadline of one call to the platform, in milliseconds.
    pub platform_deadline_ms: u64,
}
