/// The exporter of traces and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TelemetryExporter {
    /// None; nothing is recorded.
    Off,
    /// The standard output, in the format of `opentelemetry-stdout`.
    Stdout,
}

impl TelemetryExporter {
    /// The values of the setting `telemetry`.
    pub(crate) const CHOICES: &[(&str, TelemetryExporter)] = &[
        ("off", TelemetryExporter::Off),
        ("stdout", TelemetryExporter::Stdout),
    ];
}
