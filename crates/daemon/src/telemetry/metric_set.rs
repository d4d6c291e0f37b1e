use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

/// The bucket bounds of the latency histograms, in milliseconds.
const BUCKET_BOUNDS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 26.0, 50.0, 100.0, 200.0, 500.0, 830.0, 2_000.0, 5_000.0, 20_000.0,
];

/// The OpenTelemetry instruments of a process.
#[derive(Debug)]
pub(super) struct MetricSet {
    /// The time from the arrival of a request to its first token, in milliseconds.
    pub(super) first_token: Histogram<f64>,
    /// The time between two tokens of an answer, in milliseconds.
    pub(super) token_gap: Histogram<f64>,
    requests: Counter<u64>,
    /// The connections of processes of other clusters that were refused.
    pub(super) refused_connections: Counter<u64>,
    queue_units: Gauge<u64>,
    revision: Gauge<u64>,
    bound: Gauge<u64>,
}

impl MetricSet {
    pub(super) fn new(meter: &Meter) -> MetricSet {
        let histogram = |name: &'static str| {
            let builder = meter.f64_histogram(name).with_unit("ms");
            builder.with_boundaries(BUCKET_BOUNDS_MS.to_vec()).build()
        };
        let gauge = |name: &'static str, unit| meter.u64_gauge(name).with_unit(unit).build();
        MetricSet {
            first_token: histogram("dandelionroad.first_token"),
            token_gap: histogram("dandelionroad.token_gap"),
            requests: meter.u64_counter("dandelionroad.requests").build(),
            refused_connections: meter
                .u64_counter("dandelionroad.refused_connections")
                .build(),
            queue_units: gauge("dandelionroad.queue_units", "units"),
            revision: gauge("dandelionroad.revision", "1"),
            bound: gauge("dandelionroad.bound", "tokens/s"),
        }
    }

    pub(super) fn record_request(
        &self,
        kind: &'static str,
        outcome: &'static str,
        reason: &'static str,
    ) {
        let attributes = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.requests.add(1, &attributes);
    }

    pub(super) fn record_queue_units(&self, node: &str, units: u64) {
        let attributes = [KeyValue::new("node", node.to_owned())];
        self.queue_units.record(units, &attributes);
    }

    pub(super) fn record_revision(&self, node: &str, revision: u64) {
        let attributes = [KeyValue::new("node", node.to_owned())];
        self.revision.record(revision, &attributes);
    }

    pub(super) fn record_bound(&self, model: &str, tokens_per_second: u64) {
        let attributes = [KeyValue::new("model", model.to_owned())];
        self.bound.record(tokens_per_second, &attributes);
    }
}
