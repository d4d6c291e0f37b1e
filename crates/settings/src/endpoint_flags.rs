use std::net::SocketAddr;

use argh::FromArgs;

use super::EngineKind;
use super::NodeSettings;
use super::SettingsError;
use super::common_flags::CommonFlags;
use super::settings_reader::SettingsReader;

/// The default port of the internal listener, for other processes of the system.
const INTERNAL_PORT: u16 = 7_401;

/// run an endpoint beside one model engine or plain service: it queues requests, has the engine
/// load its layers and sends a fencing token with each order to the engine or call to the service
#[derive(Clone, Debug, Default, FromArgs)]
#[argh(
    subcommand,
    name = "endpoint",
    note = "Each flag has an environment variable: --table-url is DANDELIONROAD_TABLE_URL. A flag takes precedence over its variable.",
    error_code(2, "The settings are invalid; all faults are printed.")
)]
pub struct EndpointFlags {
    /// the name of the cluster, 1 to 64 characters of a-z, 0-9 and -; processes of other clusters
    /// are refused; default: dandelionroad
    #[argh(option)]
    pub cluster: Option<String>,
    /// the unique name of this process, 1 to 64 characters of a-z, 0-9 and -
    #[argh(option)]
    pub name: Option<String>,
    /// the name of the host; default: the name of this process
    #[argh(option)]
    pub host: Option<String>,
    /// the availability zone of the host
    #[argh(option)]
    pub zone: Option<String>,
    /// the address for other processes of the system, as ip:port; default: 127.0.0.1:7401
    #[argh(option)]
    pub internal_listen: Option<String>,
    /// the base URL of the engine or plain service beside this process
    #[argh(option)]
    pub engine_url: Option<String>,
    /// the kind of that engine or service: layer-range, whole-model or plain-service
    #[argh(option)]
    pub engine_kind: Option<String>,
    /// the base URL of the table service
    #[argh(option)]
    pub table_url: Option<String>,
    /// the base URL of the object store
    #[argh(option)]
    pub object_url: Option<String>,
    /// the base URL of the host list
    #[argh(option)]
    pub hosts_url: Option<String>,
    /// internal addresses of other processes to contact besides those of the host list, as
    /// ip:port, separated by commas; default: none
    #[argh(option)]
    pub seeds: Option<String>,
    /// the maximum work in the queue, in work units: 1 for a prompt token or a call to a plain
    /// service, 8 for a token to generate; default: 100000
    #[argh(option)]
    pub queue_units: Option<String>,
    /// the maximum number of requests that run at once; default: 16
    #[argh(option)]
    pub concurrency: Option<String>,
    /// the time without progress after which an engine or another stage is reported as silent, so
    /// that the entry replaces the stage, in milliseconds; default: 500
    #[argh(option)]
    pub step_deadline_ms: Option<String>,
    /// the deadline of a call to the table service, object store or host list, in milliseconds;
    /// default: 1000
    #[argh(option)]
    pub platform_deadline_ms: Option<String>,
    /// the least severe level that is logged: debug, info, warn or error; default: info
    #[argh(option)]
    pub log_level: Option<String>,
    /// the format of log lines: text or json; default: text
    #[argh(option)]
    pub log_format: Option<String>,
    /// the exporter of traces and metrics: off or stdout; default: off
    #[argh(option)]
    pub telemetry: Option<String>,
    /// the time between two exports of the metrics, in milliseconds; default: 10000
    #[argh(option)]
    pub metrics_interval_ms: Option<String>,
}

impl EndpointFlags {
    /// Reads the settings from these flags, from environment variables and from the defaults.
    ///
    /// `environment` looks up a variable by its name.
    ///
    /// # Errors
    ///
    /// Returns every setting that is missing or invalid.
    pub fn read(
        &self,
        environment: &dyn Fn(&str) -> Option<String>,
    ) -> Result<NodeSettings, SettingsError> {
        let mut reader = SettingsReader::new(environment);
        let mut settings = NodeSettings {
            internal_listen: SocketAddr::from(([127, 0, 0, 1], INTERNAL_PORT)),
            ..NodeSettings::endpoint("", EngineKind::LayerRange, "")
        };
        let common = CommonFlags {
            cluster: &self.cluster,
            name: &self.name,
            host: &self.host,
            zone: &self.zone,
            internal_listen: &self.internal_listen,
            table_url: &self.table_url,
            object_url: &self.object_url,
            hosts_url: &self.hosts_url,
            seeds: &self.seeds,
            step_deadline_ms: &self.step_deadline_ms,
            platform_deadline_ms: &self.platform_deadline_ms,
            log_level: &self.log_level,
            log_format: &self.log_format,
            telemetry: &self.telemetry,
            metrics_interval_ms: &self.metrics_interval_ms,
        };
        common.read(&mut reader, &mut settings);
        reader.url("engine-url", &self.engine_url, &mut settings.engine_url);
        reader.read_required(
            "engine-kind",
            &self.engine_kind,
            "layer-range, whole-model or plain-service",
            &mut settings.engine_kind,
            |text| {
                let found = EngineKind::CHOICES.iter().find(|(word, _)| *word == text);
                found.map(|(_, kind)| *kind)
            },
        );
        reader.number(
            "queue-units",
            &self.queue_units,
            "a number of work units, at least 1",
            &mut settings.queue_units,
        );
        reader.number(
            "concurrency",
            &self.concurrency,
            "a number of requests, at least 1",
            &mut settings.concurrency,
        );
        reader.finish()?;
        Ok(settings)
    }
}
