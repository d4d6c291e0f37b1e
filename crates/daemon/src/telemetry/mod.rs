/*!
Logs, traces and metrics.

The identifiers of the trace and of its root span are derived from the request identifier; one that
an entry generates is itself a valid trace identifier. Each process can therefore attach its spans
to the trace of a request without a trace context in the messages between processes. Without an
exporter, each call costs one atomic load.
*/

mod hop_kind;
mod hop_span;
mod log_setup;
mod metric_set;
mod span_id_generator;
mod telemetry_hub;

pub use self::hop_kind::HopKind;
pub use self::hop_span::HopSpan;
pub use self::log_setup::install_logs;
pub use self::telemetry_hub::TelemetryHub;

/// Counts a request that has ended at an entry.
///
/// `kind` is `model` or `service`; `outcome` is `answered`, `cancelled` or an outcome of the
/// callers' API; `reason` is a refusal reason or empty.
pub fn record_request(kind: &'static str, outcome: &'static str, reason: &'static str) {
    if let Some(hub) = TelemetryHub::installed() {
        hub.metrics().record_request(kind, outcome, reason);
    }
}

/// Counts a connection of a process of another cluster that was refused.
pub fn record_refused_connection() {
    if let Some(hub) = TelemetryHub::installed() {
        hub.metrics().refused_connections.add(1, &[]);
    }
}

/// Records the time from the arrival of a request to its first token, in milliseconds.
pub fn record_first_token(elapsed_ms: f64) {
    if let Some(hub) = TelemetryHub::installed() {
        hub.metrics().first_token.record(elapsed_ms, &[]);
    }
}

/// Records the time between two tokens of an answer, in milliseconds.
pub fn record_token_gap(elapsed_ms: f64) {
    if let Some(hub) = TelemetryHub::installed() {
        hub.metrics().token_gap.record(elapsed_ms, &[]);
    }
}

/// Records the queued work of an endpoint, in work units.
pub fn record_queue_units(node: &str, units: u64) {
    if let Some(hub) = TelemetryHub::installed() {
        hub.metrics().record_queue_units(node, units);
    }
}

/// Records the revision of the configuration in force at a process.
pub fn record_revision(node: &str, revision: u64) {
    if let Some(hub) = TelemetryHub::installed() {
        hub.metrics().record_revision(node, revision);
    }
}

/// Records the upper bound of the throughput of a model, in tokens per second.
pub fn record_bound(model: &str, tokens_per_second: u64) {
    if let Some(hub) = TelemetryHub::installed() {
        hub.metrics().record_bound(model, tokens_per_second);
    }
}
