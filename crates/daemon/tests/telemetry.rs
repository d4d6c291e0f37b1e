//! Traces and metrics: the spans of the hops of a request, and the names of the exported metrics.
//!
//! The tests guard against spans of one request in several traces, against hops without a span, and
//! against metrics that are declared but never recorded.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use dandelionroad_core::ident::RequestIdent;
use dandelionroad_daemon::telemetry::HopKind;
use dandelionroad_daemon::telemetry::HopSpan;
use dandelionroad_daemon::telemetry::TelemetryHub;
use dandelionroad_daemon::telemetry::record_request;
use dandelionroad_demo::ACCOUNT_SECRET;
use dandelionroad_demo::DemoCluster;
use dandelionroad_demo::DemoOptions;
use dandelionroad_demo::MODEL;
use dandelionroad_demo::SERVICE;
use dandelionroad_standins::load::CallOutcome;
use dandelionroad_standins::load::CallerClient;
use dandelionroad_standins::load::LoadKind;
use opentelemetry::SpanId;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::Temporality;
use opentelemetry_sdk::metrics::data::ResourceMetrics;
use opentelemetry_sdk::metrics::data::ScopeMetrics;
use opentelemetry_sdk::metrics::exporter::PushMetricExporter;
use opentelemetry_sdk::trace::SpanData;
use opentelemetry_sdk::trace::SpanExporter;

/// The number of tokens of the answer.
const TOKENS: u32 = 2;

/// Collects the exported spans.
#[derive(Clone, Debug, Default)]
struct SpanStore(Arc<Mutex<Vec<SpanData>>>);

impl SpanExporter for SpanStore {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.0.lock().unwrap().extend(batch);
        Ok(())
    }
}

/// Collects the names of the exported metrics.
#[derive(Clone, Debug, Default)]
struct MetricNames(Arc<Mutex<Vec<String>>>);

impl PushMetricExporter for MetricNames {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        let metrics = metrics.scope_metrics().flat_map(ScopeMetrics::metrics);
        let names = metrics.map(|metric| metric.name().to_owned());
        self.0.lock().unwrap().extend(names);
        Ok(())
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }

    fn temporality(&self) -> Temporality {
        Temporality::Cumulative
    }
}

impl SpanStore {
    /// Returns the stores that the exporters of the test process fill, installing them on the first
    /// call.
    fn installed() -> &'static (SpanStore, MetricNames) {
        static STORE: OnceLock<(SpanStore, MetricNames)> = OnceLock::new();
        STORE.get_or_init(|| {
            let store = SpanStore::default();
            let names = MetricNames::default();
            let interval = Duration::from_secs(3_600);
            TelemetryHub::install_exporters("test", store.clone(), names.clone(), interval);
            (store, names)
        })
    }

    /// Returns the spans of the trace that contains a span accepted by `is_wanted`, in the order of
    /// their ends.
    fn trace(&self, is_wanted: impl Fn(&SpanData) -> bool) -> Vec<SpanData> {
        TelemetryHub::installed().unwrap().flush();
        let spans = self.0.lock().unwrap();
        let Some(wanted) = spans.iter().find(|span| is_wanted(span)) else {
            return Vec::new();
        };
        let trace = wanted.span_context.trace_id();
        let spans = spans
            .iter()
            .filter(|span| span.span_context.trace_id() == trace);
        spans.cloned().collect()
    }
}

fn has_text(span: &SpanData, key: &str, value: &str) -> bool {
    let mut attributes = span.attributes.iter();
    attributes.any(|attribute| attribute.key.as_str() == key && attribute.value.as_str() == value)
}

fn count(spans: &[SpanData], name: &str) -> usize {
    spans.iter().filter(|span| span.name == name).count()
}

/// Guards against a trace identifier that depends on more than the request identifier, which puts
/// the spans of two processes into different traces. A caller's identifier need not be hexadecimal.
#[test]
fn hop_span_spans_of_a_request_form_one_trace() {
    let (store, _) = SpanStore::installed();
    for text in ["0123456789abcdef0123456789abcdef", "caller-chosen-7"] {
        let request = RequestIdent::parse(text).unwrap();
        let stage = HopSpan::start(HopKind::Stage, &request, "endpoint-1");
        drop(HopSpan::start(HopKind::EngineCall, &request, "endpoint-1"));
        drop(stage);
        drop(HopSpan::start(HopKind::Entry, &request, "entry-1"));
        record_request("model", "not-run", "overloaded");
        let spans = store.trace(|span| has_text(span, "request", text));
        let names: Vec<&str> = spans.iter().map(|span| span.name.as_ref()).collect();
        assert_eq!(names, ["engine-call", "stage", "entry"]);
        let root = &spans[2].span_context;
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

/// Guards against a stage, engine call or service call whose span is missing or never ends, and
/// against metrics that no code path records.
#[tokio::test(flavor = "multi_thread")]
async fn cluster_request_has_a_span_for_each_hop() {
    let (store, names) = SpanStore::installed();
    let cluster = DemoCluster::start(DemoOptions::three_stages())
        .await
        .unwrap();
    cluster.apply_ticket().await.unwrap();
    cluster.wait_ready().await;
    let entry = &cluster.entry_urls()[0];
    let caller = CallerClient::new(ACCOUNT_SECRET);
    let call = (MODEL, "which knot [length=2]", TOKENS);
    let answer = caller.stream(entry, LoadKind::Completion, call, "").await;
    assert_eq!(answer.outcome, CallOutcome::Answered);
    let booking = caller.book(entry, SERVICE, "order-1").await;
    assert_eq!(booking.outcome, CallOutcome::Answered);
    let is_root = |span: &SpanData, kind| {
        span.parent_span_id == SpanId::INVALID && has_text(span, "kind", kind)
    };
    // The span of a stage ends when the entry closes its subscription, which is after the answer.
    let model = loop {
        let spans = store.trace(|span| is_root(span, "model"));
        if count(&spans, "stage") == 3 {
            break spans;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    assert_eq!(count(&model, "entry"), 1);
    assert_eq!(count(&model, "engine-call"), 3 * TOKENS as usize);
    let service = store.trace(|span| is_root(span, "service"));
    assert_eq!(count(&service, "entry"), 1);
    assert_eq!(count(&service, "service-call"), 1);
    let names = names.0.lock().unwrap();
    for name in [
        "requests",
        "first_token",
        "token_gap",
        "queue_units",
        "revision",
        "bound",
    ] {
        let name = format!("dandelionroad.{name}");
        assert!(names.contains(&name), "{name} is not in {names:?}");
    }
}
