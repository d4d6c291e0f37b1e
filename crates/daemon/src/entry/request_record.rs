use std::time::Instant;
use std::time::SystemTime;

use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::outcome::RefusalReason;

use crate::telemetry;
use crate::telemetry::HopKind;
use crate::telemetry::HopSpan;

/// The outcome of a request whose caller went away before the end of the answer.
pub(super) const CANCELLED: &str = "cancelled";

/// What is recorded about a caller's request; written when the value is dropped.
#[derive(Debug)]
pub(super) struct RequestRecord {
    /// The name of this process.
    pub(super) node: String,
    /// `model` or `service`.
    pub(super) kind: &'static str,
    /// The request, once there is an answer that names it.
    pub(super) request: Option<RequestIdent>,
    /// The wall-clock time of the arrival.
    pub(super) arrival: SystemTime,
    /// The time of the arrival.
    pub(super) start: Instant,
    /// `answered`, `cancelled` or an outcome of the callers' API.
    pub(super) outcome: &'static str,
    /// Why there is no ordinary answer.
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
                "entry: a request ended without an answer",
                kv: { request, outcome, reason, elapsed_ms }
            );
        } else {
            spdlog::debug!("entry: a request ended", kv: { request, outcome, elapsed_ms });
        }
    }
}
