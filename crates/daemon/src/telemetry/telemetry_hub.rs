use std::sync::OnceLock;
use std::time::Duration;

use dandelionroad_settings::NodeSettings;
use dandelionroad_settings::TelemetryExporter;
use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::PeriodicReader;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::exporter::PushMetricExporter;
use opentelemetry_sdk::trace::SdkTracer;
use opentelemetry_sdk::trace::SdkTracerProvider;
use opentelemetry_sdk::trace::SpanExporter;

use super::metric_set::MetricSet;
use super::span_ids::SpanIds;

const SCOPE: &str = "dandelionroad";

static INSTALLED: OnceLock<TelemetryHub> = OnceLock::new();

/// The exporters of a process.
#[derive(Debug)]
pub struct TelemetryHub {
    spans: SdkTracerProvider,
    tracer: SdkTracer,
    readings: SdkMeterProvider,
    metrics: MetricSet,
}

impl TelemetryHub {
    /// Installs the exporters that the settings ask for.
    pub fn install(settings: &NodeSettings) {
        match settings.telemetry {
            TelemetryExporter::Off => {}
            TelemetryExporter::Stdout => TelemetryHub::install_exporters(
                &settings.name,
                opentelemetry_stdout::SpanExporter::default(),
                opentelemetry_stdout::MetricExporter::default(),
                Duration::from_millis(settings.metrics_interval_ms),
            ),
        }
    }

    /// Installs exporters for the whole process; the first ones stay.
    pub fn install_exporters(
        name: &str,
        spans: impl SpanExporter + 'static,
        metrics: impl PushMetricExporter,
        metrics_interval: Duration,
    ) {
        let resource = Resource::builder()
            .with_service_name(SCOPE)
            .with_attribute(KeyValue::new("service.instance.id", name.to_owned()))
            .build();
        let spans = SdkTracerProvider::builder()
            .with_batch_exporter(spans)
            .with_id_generator(SpanIds::default())
            .with_resource(resource.clone())
            .build();
        let reader = PeriodicReader::builder(metrics)
            .with_interval(metrics_interval)
            .build();
        let readings = SdkMeterProvider::builder()
            .with_reader(reader)
            .with_resource(resource)
            .build();
        INSTALLED.get_or_init(|| TelemetryHub {
            tracer: spans.tracer(SCOPE),
            metrics: MetricSet::new(&readings.meter(SCOPE)),
            spans,
            readings,
        });
    }

    /// Returns the installed exporters, if there are any.
    pub fn installed() -> Option<&'static TelemetryHub> {
        INSTALLED.get()
    }

    /// Exports what was recorded so far. A failed export is the exporter's matter.
    pub fn flush(&self) {
        let _ = self.spans.force_flush();
        let _ = self.readings.force_flush();
    }

    pub(super) fn tracer(&self) -> &SdkTracer {
        &self.tracer
    }

    pub(super) fn metrics(&self) -> &MetricSet {
        &self.metrics
    }
}
