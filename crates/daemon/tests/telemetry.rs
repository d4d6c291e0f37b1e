//! Guards against spans of one request that fall into several traces, and against metrics that
//! mix outcomes.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dandelionroad_core::ident::RequestIdent;
use dandelionroad_daemon::telemetry::HopKind;
use dandelionroad_daemon::telemetry::HopSpan;
use dandelionroad_daemon::telemetry::TelemetryHub;
use dandelionroad_daemon::telemetry::record_request;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::SpanData;
use opentelemetry_sdk::trace::SpanExporter;

#[derive(Clone, Debug, Default)]
struct SpanStore(Arc<Mutex<Vec<SpanData>>>);

impl SpanExporter for SpanStore {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.0.lock().unwrap().extend(batch);
        Ok(())
    }
}

#[test]
fn hop_span_spans_of_a_request_form_one_trace() {
    let early = HopSpan::start(HopKind::Entry, &RequestIdent::parse("early").unwrap(), "e");
    drop(early);
    let store = SpanStore::default();
    let metrics = opentelemetry_stdout::MetricExporter::default();
    let interval = Duration::from_secs(3_600);
    TelemetryHub::install_exporters("test", store.clone(), metrics, interval);
    let hub = TelemetryHub::installed().unwrap();
    for text in ["0123456789abcdef0123456789abcdef", "caller-chosen-7"] {
        let request = RequestIdent::parse(text).unwrap();
        let stage = HopSpan::start(HopKind::Stage, &request, "endpoint-1");
        let mut call = HopSpan::start(HopKind::EngineCall, &request, "endpoint-1");
        call.set_number("position", 3);
        drop((call, stage));
        drop(HopSpan::start(HopKind::Entry, &request, "entry-1"));
        record_request("model", "not-run", "overloaded");
        hub.flush();
        let spans = std::mem::take(&mut *store.0.lock().unwrap());
        let names: Vec<&str> = spans.iter().map(|span| span.name.as_ref()).collect();
        assert_eq!(names, ["engine-call", "stage", "entry"]);
        let root = &spans[2].span_context;
        assert!(
            spans
                .iter()
                .all(|span| span.span_context.trace_id() == root.trace_id())
        );
        assert!(
            spans[..2]
                .iter()
                .all(|span| span.parent_span_id == root.span_id())
        );
        if text.len() == 32 {
            assert_eq!(root.trace_id().to_string(), text);
        }
    }
}
