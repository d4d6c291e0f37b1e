/// Where traces and metrics go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TelemetryExporter {
    /// Nowhere; nothing is recorded.
    Off,
    /// To the standard output, as `opentelemetry-stdout` writes them.
    Stdout,
}

impl TelemetryExporter {
    pub(crate) const CHOICES: &[(&str, TelemetryExporter)] = &[
        ("off", TelemetryExporter::Off),
        ("stdout", TelemetryExporter::Stdout),
    ];
}
