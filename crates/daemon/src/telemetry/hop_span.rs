use std::time::SystemTime;

use dandelionroad_core::ident::RequestIdent;
use opentelemetry::KeyValue;
use opentelemetry::trace::Span as _;
use opentelemetry::trace::SpanContext;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::TraceFlags;
use opentelemetry::trace::TraceState;
use opentelemetry::trace::Tracer;
use opentelemetry_sdk::trace::Span;

use super::HopKind;
use super::TelemetryHub;
use super::span_id_generator::root_ids;
use super::span_id_generator::with_root_ids;

/// The span of one hop of a request; ends when dropped and does nothing without an exporter.
#[derive(Debug)]
pub struct HopSpan {
    span: Option<Box<Span>>,
}

impl HopSpan {
    /// Starts the span of a hop of a request at the process `node`.
    pub fn start(kind: HopKind, request: &RequestIdent, node: &str) -> HopSpan {
        HopSpan::start_at(kind, request, node, None)
    }

    /// Starts a span, and calls `request` for the identifier only if an exporter is installed.
    ///
    /// Saves callers the lock or the clone that the identifier costs.
    pub fn start_lazy(
        kind: HopKind,
        node: &str,
        request: impl FnOnce() -> RequestIdent,
    ) -> HopSpan {
        match TelemetryHub::installed() {
            Some(_) => HopSpan::start(kind, &request(), node),
            None => HopSpan { span: None },
        }
    }

    /// Starts a span at the given time; `None` is the current time.
    pub fn start_at(
        kind: HopKind,
        request: &RequestIdent,
        node: &str,
        time: Option<SystemTime>,
    ) -> HopSpan {
        let span = TelemetryHub::installed().map(|hub| {
            let tracer = hub.tracer();
            let mut builder = tracer.span_builder(kind.as_str());
            builder.start_time = time;
            let mut span = match kind {
                HopKind::Entry => with_root_ids(request, || {
                    tracer.build_with_context(builder, &opentelemetry::Context::new())
                }),
                HopKind::Stage | HopKind::EngineCall | HopKind::ServiceCall => {
                    tracer.build_with_context(builder, &parent_context(request))
                }
            };
            span.set_attribute(KeyValue::new("request", request.as_str().to_owned()));
            span.set_attribute(KeyValue::new("node", node.to_owned()));
            Box::new(span)
        });
        HopSpan { span }
    }

    /// Sets an attribute to a number; values above `i64::MAX` are recorded as `i64::MAX`.
    pub fn set_number(&mut self, key: &'static str, value: u64) {
        if let Some(span) = &mut self.span {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            span.set_attribute(KeyValue::new(key, value));
        }
    }

    /// Sets an attribute to a text.
    pub fn set_text(&mut self, key: &'static str, value: &str) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(key, value.to_owned()));
        }
    }
}

/// Returns a context whose parent is the entry's span of the request.
fn parent_context(request: &RequestIdent) -> opentelemetry::Context {
    let (trace, span) = root_ids(request);
    let is_remote = true;
    let parent = SpanContext::new(
        trace,
        span,
        TraceFlags::SAMPLED,
        is_remote,
        TraceState::NONE,
    );
    opentelemetry::Context::new().with_remote_span_context(parent)
}
