use std::net::SocketAddr;

use argh::FromArgs;

use super::NodeSettings;
use super::SettingsError;
use super::common_flags::CommonFlags;
use super::settings_reader::SettingsReader;

/// The default port of the internal listener, for other processes of the system.
const INTERNAL_PORT: u16 = 7_400;

/// The default port of the public listener, for callers.
const PUBLIC_PORT: u16 = 8_080;

/// The default port of the administration API.
const ADMIN_PORT: u16 = 8_081;

/// run an entry: it accepts callers' requests and serves the administration API
#[derive(Clone, Debug, Default, FromArgs)]
#[argh(
    subcommand,
    name = "entry",
    note = "Each flag has an environment variable: --table-url is DANDELIONROAD_TABLE_URL. A flag takes precedence over its variable. The secret of the administration API comes from DANDELIONROAD_ADMIN_TOKEN only.",
    error_code(2, "The settings are invalid; all faults are printed.")
)]
pub struct EntryFlags {
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
    /// the address for other processes of the system, as ip:port; default: 127.0.0.1:7400
    #[argh(option)]
    pub internal_listen: Option<String>,
    /// the address for callers, as ip:port; default: 127.0.0.1:8080
    #[argh(option)]
    pub public_listen: Option<String>,
    /// the address of the administration API, as ip:port; default: 127.0.0.1:8081
    #[argh(option)]
    pub admin_listen: Option<String>,
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
    /// the deadline of a caller's request, in milliseconds; default: 60000
    #[argh(option)]
    pub request_deadline_ms: Option<String>,
    /// the time for which a leaving entry fails its readiness check but still accepts requests,
    /// before it closes its listeners, in milliseconds; default: 3000
    #[argh(option)]
    pub drain_notice_ms: Option<String>,
    /// the time for which outcomes of calls are kept, in hours; default: 72
    #[argh(option)]
    pub record_retention_hours: Option<String>,
    /// the time without an event after which the first stage of a route is replaced, counted from
    /// the reopening of its stream, in milliseconds; the stream is reopened after 0.6 of this time
    /// without an event; default: 500
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

impl EntryFlags {
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
            public_listen: SocketAddr::from(([127, 0, 0, 1], PUBLIC_PORT)),
            admin_listen: SocketAddr::from(([127, 0, 0, 1], ADMIN_PORT)),
            ..NodeSettings::entry("")
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
        reader.listen_address(
            "public-listen",
            &self.public_listen,
            &mut settings.public_listen,
        );
        reader.listen_address(
            "admin-listen",
            &self.admin_listen,
            &mut settings.admin_listen,
        );
        reader.number(
            "request-deadline-ms",
            &self.request_deadline_ms,
            "a number of milliseconds, at least 1",
            &mut settings.request_deadline_ms,
        );
        reader.number(
            "drain-notice-ms",
            &self.drain_notice_ms,
            "a number of milliseconds, at least 1",
            &mut settings.drain_notice_ms,
        );
        reader.number(
            "record-retention-hours",
            &self.record_retention_hours,
            "a number of hours, at least 1",
            &mut settings.record_retention_hours,
        );
        reader.secret(
            "admin-token",
            "the secret of the administration API",
            &mut settings.admin_token,
        );
        reader.finish()?;
        Ok(settings)
    }
}
