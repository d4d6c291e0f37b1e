use std::net::SocketAddr;

use super::EngineKind;
use super::LogFormat;
use super::LogLevel;
use super::NodeRole;
use super::TelemetryExporter;

/// The validated settings of one process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The role of the process.
    pub role: NodeRole,
    /// The name of the cluster; processes of other clusters are refused at the internal interface.
    pub cluster: String,
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
    /// The kind of that engine or service (role endpoint).
    pub engine_kind: EngineKind,
    /// Internal addresses of other processes to contact besides those of the host list.
    pub seeds: Vec<String>,
    /// The secret of the administration API (role entry); never logged.
    pub admin_token: String,
    /// The maximum work in the queue, in work units (role endpoint): 1 for a prompt token or a call
    /// to a plain service, 8 for a token to generate.
    pub queue_units: u64,
    /// The maximum number of requests that run at once (role endpoint).
    pub concurrency: u32,
    /// The time without progress after which an engine or a stage is treated as silent and
    /// replaced, in milliseconds. An entry reopens the stream of the first stage after 0.6 of it.
    pub step_deadline_ms: u64,
    /// The time for which a leaving entry fails its readiness check but still accepts requests,
    /// before it closes its listeners, in milliseconds.
    pub drain_notice_ms: u64,
    /// The deadline of a caller's request, in milliseconds.
    pub request_deadline_ms: u64,
    /// The deadline of a call to the table service, object store or host list, in milliseconds.
    pub platform_deadline_ms: u64,
    /// The time for which outcomes of calls are kept, in hours.
    pub record_retention_hours: u64,
    /// The least severe level that is logged.
    pub log_level: LogLevel,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The exporter of traces and metrics.
    pub telemetry: TelemetryExporter,
    /// The time between two exports of the metrics, in milliseconds.
    pub metrics_interval_ms: u64,
}

impl NodeSettings {
    /// The name of the cluster where none is set.
    pub const DEFAULT_CLUSTER: &'static str = "dandelionroad";

    /// Returns the default settings of an entry that listens on free ports of loopback.
    ///
    /// The base URLs and the secret of the administration API are empty.
    pub fn entry(name: &str) -> NodeSettings {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        NodeSettings {
            role: NodeRole::Entry,
            cluster: NodeSettings::DEFAULT_CLUSTER.to_owned(),
            name: name.to_owned(),
            host: name.to_owned(),
            zone: "local".to_owned(),
            internal_listen: any_port,
            public_listen: any_port,
            admin_listen: any_port,
            table_url: String::new(),
            object_url: String::new(),
            hosts_url: String::new(),
            engine_url: String::new(),
            engine_kind: EngineKind::LayerRange,
            seeds: Vec::new(),
            admin_token: String::new(),
            queue_units: 100_000,
            concurrency: 16,
            step_deadline_ms: 500,
            drain_notice_ms: 3_000,
            request_deadline_ms: 60_000,
            platform_deadline_ms: 1_000,
            record_retention_hours: 72,
            log_level: LogLevel::Info,
            log_format: LogFormat::Text,
            telemetry: TelemetryExporter::Off,
            metrics_interval_ms: 10_000,
        }
    }

    /// Returns the default settings of an endpoint that listens on a free port of loopback.
    ///
    /// The base URLs of the table service, object store and host list are empty.
    pub fn endpoint(name: &str, engine_kind: EngineKind, engine_url: &str) -> NodeSettings {
        NodeSettings {
            role: NodeRole::Endpoint,
            engine_kind,
            engine_url: engine_url.to_owned(),
            ..NodeSettings::entry(name)
        }
    }
}
