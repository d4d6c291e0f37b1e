use crate::LogFormat;
use crate::LogLevel;
use crate::NodeSettings;
use crate::TelemetryExporter;
use crate::settings_reader::SettingsReader;

/// The description of a valid time in milliseconds, for error messages.
const EXPECTED_MILLIS: &str = "a number of milliseconds, at least 1";

/// The flags that both roles have, as references to the fields of the role's own type.
///
/// `argh` can't share flags between commands, so each role declares all of them.
pub(crate) struct CommonFlags<'a> {
    pub(crate) cluster: &'a Option<String>,
    pub(crate) name: &'a Option<String>,
    pub(crate) host: &'a Option<String>,
    pub(crate) zone: &'a Option<String>,
    pub(crate) internal_listen: &'a Option<String>,
    pub(crate) table_url: &'a Option<String>,
    pub(crate) object_url: &'a Option<String>,
    pub(crate) hosts_url: &'a Option<String>,
    pub(crate) seeds: &'a Option<String>,
    pub(crate) step_deadline_ms: &'a Option<String>,
    pub(crate) platform_deadline_ms: &'a Option<String>,
    pub(crate) log_level: &'a Option<String>,
    pub(crate) log_format: &'a Option<String>,
    pub(crate) telemetry: &'a Option<String>,
    pub(crate) metrics_interval_ms: &'a Option<String>,
}

impl CommonFlags<'_> {
    /// Reads the flags into `settings`; the host defaults to the name.
    pub(crate) fn read(&self, reader: &mut SettingsReader<'_>, settings: &mut NodeSettings) {
        reader.optional_name("cluster", self.cluster, &mut settings.cluster);
        reader.name("name", self.name, &mut settings.name);
        settings.host.clone_from(&settings.name);
        reader.optional_name("host", self.host, &mut settings.host);
        reader.name("zone", self.zone, &mut settings.zone);
        let listen = &mut settings.internal_listen;
        reader.reachable_address("internal-listen", self.internal_listen, listen);
        reader.url("table-url", self.table_url, &mut settings.table_url);
        reader.url("object-url", self.object_url, &mut settings.object_url);
        reader.url("hosts-url", self.hosts_url, &mut settings.hosts_url);
        reader.addresses("seeds", self.seeds, &mut settings.seeds);
        self.read_deadlines(reader, settings);
        self.read_diagnostics(reader, settings);
    }

    fn read_deadlines(&self, reader: &mut SettingsReader<'_>, settings: &mut NodeSettings) {
        reader.number(
            "step-deadline-ms",
            self.step_deadline_ms,
            EXPECTED_MILLIS,
            &mut settings.step_deadline_ms,
        );
        reader.number(
            "platform-deadline-ms",
            self.platform_deadline_ms,
            EXPECTED_MILLIS,
            &mut settings.platform_deadline_ms,
        );
    }

    fn read_diagnostics(&self, reader: &mut SettingsReader<'_>, settings: &mut NodeSettings) {
        reader.choice(
            "log-level",
            self.log_level,
            "debug, info, warn or error",
            LogLevel::CHOICES,
            &mut settings.log_level,
        );
        reader.choice(
            "log-format",
            self.log_format,
            "text or json",
            LogFormat::CHOICES,
            &mut settings.log_format,
        );
        reader.choice(
            "telemetry",
            self.telemetry,
            "off or stdout",
            TelemetryExporter::CHOICES,
            &mut settings.telemetry,
        );
        reader.number(
            "metrics-interval-ms",
            self.metrics_interval_ms,
            EXPECTED_MILLIS,
            &mut settings.metrics_interval_ms,
        );
    }
}
