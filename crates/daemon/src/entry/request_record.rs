use std::time::Instant;
use std::time::SystemTime;

use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;

use crate::telemetry;
use crate::telemetry::HopKind;
use crate::telemetry::HopSpan;

/// The outcome of a request whose caller disconnected before the end of the response.
pub(super) const CANCELLED: &str = "cancelled";

/// The metrics, trace span and log line of a caller's request, written when the value is dropped.
#[derive(Debug)]
pub(super) struct RequestRecord {
    /// The name of this process.
    pub(super) node: String,
    /// `model` or `service`.
    pub(super) kind: &'static str,
    /// The request identifier; `None` until there is a response with one.
    pub(super) request: Option<RequestIdent>,
    /// The wall-clock time at which the request arrived, for the span.
    pub(super) arrival: SystemTime,
    /// The monotonic time at which the request arrived, for the elapsed time.
    pub(super) start: Instant,
    /// `answered`, `cancelled`, or the outcome from the response header or the error event.
    pub(super) outcome: &'static str,
    /// The reason of a refusal or failure.
    pub(super) reason: Option<RefusalReason>,
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let reason = self.reason.map_or("", RefusalReason::as_str);
        telemetry::record_request(self.kind, self.outcome, reason);
        let Some(request) = &self.request else {
            return;
        };
        let time = Some(self.arrival);
        let mut span = HopSpan::start_at(HopKind::Entry, request, &self.node, time);
        span.set_text("kind", self.kind);
        span.set_text("outcome", self.outcome);
        span.set_text("reason", reason);
        let request = request.as_str();
        let elapsed_ms = self.start.elapsed().as_millis() as u64;
        let outcome = self.outcome;
        if self.reason.is_some() {
            spdlog::info!(
                "entry: request ended with an error",
                kv: { request, outcome, reason, elapsed_ms }
            );
        } else {
            spdlog::debug!("entry: request ended", kv: { request, outcome, elapsed_ms });
        }
    }
}
