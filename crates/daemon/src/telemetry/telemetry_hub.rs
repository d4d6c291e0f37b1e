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
use super::span_id_generator::SpanIdGenerator;

/// The name of the service and of the instrumentation scope.
const SCOPE: &str = "dandelionroad";

static INSTALLED: OnceLock<TelemetryHub> = OnceLock::new();

/// The tracer and the metrics of a process, with their exporters.
#[derive(Debug)]
pub struct TelemetryHub {
    tracer_provider: SdkTracerProvider,
    tracer: SdkTracer,
    meter_provider: SdkMeterProvider,
    metrics: MetricSet,
}

impl TelemetryHub {
    /// Installs the exporters that the settings select.
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

    /// Installs exporters for the whole process; later calls have no effect.
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
        let tracer_provider = SdkTracerProvider::builder()
            .with_batch_exporter(spans)
            .with_id_generator(SpanIdGenerator::default())
            .with_resource(resource.clone())
            .build();
        let reader = PeriodicReader::builder(metrics)
            .with_interval(metrics_interval)
            .build();
        let meter_provider = SdkMeterProvider::builder()
            .with_reader(reader)
            .with_resource(resource)
            .build();
        INSTALLED.get_or_init(|| TelemetryHub {
            tracer: tracer_provider.tracer(SCOPE),
            metrics: MetricSet::new(&meter_provider.meter(SCOPE)),
            tracer_provider,
            meter_provider,
        });
    }

    /// Returns the installed telemetry, or `None` if there is none.
    pub fn installed() -> Option<&'static TelemetryHub> {
        INSTALLED.get()
    }

    /// Exports the recorded spans and metrics. Errors of the exporters are ignored.
    pub fn flush(&self) {
        let _ = self.tracer_provider.force_flush();
        let _ = self.meter_provider.force_flush();
    }

    pub(super) fn tracer(&self) -> &SdkTracer {
        &self.tracer
    }

    pub(super) fn metrics(&self) -> &MetricSet {
        &self.metrics
    }
}
