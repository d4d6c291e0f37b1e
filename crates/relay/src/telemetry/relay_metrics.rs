use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;

use crate::node::NodeState;

use super::dropped_lines;

/// The bounds of the histograms of times, in milliseconds.
const TIME_BOUNDS_MS: [f64; 12] = [
    5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 300.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 20_000.0,
];

/// The counters and histograms of a process.
#[derive(Debug)]
pub struct RelayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    retries: IntCounterVec,
    store_calls: IntCounterVec,
    orders: IntCounterVec,
    first_event: Histogram,
    whole_answer: Histogram,
    config_version: Gauge,
    config_age: Gauge,
    running: Gauge,
    engines: Gauge,
    processes: Gauge,
    crashes: Gauge,
    dropped: Gauge,
}

impl RelayMetrics {
    /// Creates the instruments.
    pub fn new() -> RelayMetrics {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label]);
            register(&registry, counters.expect("names and labels are valid"))
        };
        let times = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(TIME_BOUNDS_MS.to_vec());
            register(
                &registry,
                Histogram::with_opts(opts).expect("the name is valid"),
            )
        };
        let gauge = |name: &str, help: &str| {
            register(
                &registry,
                Gauge::new(name, help).expect("the name is valid"),
            )
        };
        RelayMetrics {
            requests: counters(
                "dandelionroad_requests_total",
                "Requests by outcome.",
                "outcome",
            ),
            retries: counters(
                "dandelionroad_retries_total",
                "Repeated sends by cause.",
                "cause",
            ),
            store_calls: counters("dandelionroad_store_calls_total", "Store calls.", "result"),
            orders: counters("dandelionroad_orders_total", "Orders to engines.", "result"),
            first_event: times("dandelionroad_first_event_ms", "Time to the first event."),
            whole_answer: times(
                "dandelionroad_whole_answer_ms",
                "Time to the end of an answer.",
            ),
            config_version: gauge("dandelionroad_config_version", "Version in force."),
            config_age: gauge("dandelionroad_config_age_ms", "Age of the configuration."),
            running: gauge(
                "dandelionroad_requests_running",
                "Requests that are followed.",
            ),
            engines: gauge(
                "dandelionroad_engines_usable",
                "Engines that may get requests.",
            ),
            processes: gauge(
                "dandelionroad_processes_live",
                "Processes that were heard of lately, this one included.",
            ),
            crashes: gauge(
                "dandelionroad_engine_crashes_known",
                "Losses of engines that a request may have caused.",
            ),
            dropped: gauge(
                "dandelionroad_log_lines_dropped",
                "Log lines left out since the start.",
            ),
            registry,
        }
    }

    /// Counts an ended request.
    pub fn count_request(&self, outcome: &str, first_ms: Option<u64>, whole_ms: u64) {
        self.requests.with_label_values(&[outcome]).inc();
        if let Some(first_ms) = first_ms {
            self.first_event.observe(first_ms as f64);
        }
        self.whole_answer.observe(whole_ms as f64);
    }

    /// Counts a repeated send.
    pub fn count_retry(&self, cause: &str) {
        self.retries.with_label_values(&[cause]).inc();
    }

    /// Counts a call of the store.
    pub fn count_store_call(&self, is_done: bool) {
        let result = if is_done { "done" } else { "failed" };
        self.store_calls.with_label_values(&[result]).inc();
    }

    /// Counts an order to an engine.
    pub fn count_order(&self, result: &str) {
        self.orders.with_label_values(&[result]).inc();
    }

    /// Takes the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.set(version as f64);
    }

    /// Returns the metrics as text.
    pub fn render(&self, state: &NodeState) -> Vec<u8> {
        let now = state.clock.now();
        let view = state.view.borrow();
        let age = view.config_age.age_ms(now);
        self.config_age
            .set(age.map_or(f64::INFINITY, |age| age as f64));
        self.running.set(f64::from(state.running_requests.get()));
        let usable = view
            .engines
            .entries()
            .iter()
            .filter(|entry| entry.is_usable(now));
        self.engines.set(usable.count() as f64);
        let processes = state.peers.borrow().live_count(now) + 1;
        self.processes.set(f64::from(processes));
        self.crashes.set(view.crashes.len() as f64);
        self.dropped.set(dropped_lines() as f64);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            spdlog::warn!("metrics: can't be written: {error}");
        }
        text
    }
}

impl Default for RelayMetrics {
    fn default() -> RelayMetrics {
        RelayMetrics::new()
    }
}

fn register<T: Collector + Clone + 'static>(registry: &Registry, collector: T) -> T {
    registry
        .register(Box::new(collector.clone()))
        .expect("each name is registered once");
    collector
}
