use dandelionroad_core::relay::StoreVersion;
use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;

use crate::node::NodeState;

use super::dropped_lines;

/// The bucket bounds of the latency histograms, in milliseconds.
const LATENCY_BUCKETS_MS: [f64; 12] = [
    5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 300.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 20_000.0,
];

/// The Prometheus metrics of a process.
#[derive(Debug)]
pub struct RelayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    retries: IntCounterVec,
    store_calls: IntCounterVec,
    orders: IntCounterVec,
    task_failures: IntCounterVec,
    connection_failures: IntCounterVec,
    cut_streams: IntCounterVec,
    failovers: IntCounterVec,
    avoidances: IntCounterVec,
    ended_buffers: IntCounterVec,
    shortage_refusals: IntCounterVec,
    first_event: Histogram,
    whole_answer: Histogram,
    config_version: Gauge,
    config_age: Gauge,
    store_era: Gauge,
    listing_age: Gauge,
    waiting_tokens: GaugeVec,
    running: Gauge,
    engines: Gauge,
    leaving_engines: Gauge,
    paused_engines: Gauge,
    processes: Gauge,
    crashes: Gauge,
    refused_parts: Gauge,
    ignored_rows: Gauge,
    held_bytes: Gauge,
    dropped: Gauge,
}

impl RelayMetrics {
    /// Creates and registers the metrics.
    pub fn new() -> RelayMetrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label]);
            register(&registry, counter.expect("names and labels are valid"))
        };
        let histogram = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_MS.to_vec());
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
            requests: counter(
                "dandelionroad_requests_total",
                "Requests by outcome.",
                "outcome",
            ),
            retries: counter(
                "dandelionroad_retries_total",
                "Retries by cause; 'budget' counts those that the budget denied.",
                "cause",
            ),
            store_calls: counter(
                "dandelionroad_store_calls_total",
                "Calls to the store by result.",
                "result",
            ),
            orders: counter(
                "dandelionroad_orders_total",
                "Placement orders to engines by result.",
                "result",
            ),
            task_failures: counter(
                "dandelionroad_task_failures_total",
                "Failures of background tasks, which are started again, by task.",
                "task",
            ),
            connection_failures: counter(
                "dandelionroad_caller_connection_failures_total",
                "Connections of callers that failed, by cause; 'idle' counts those closed by the idle time-out.",
                "cause",
            ),
            cut_streams: counter(
                "dandelionroad_streams_cut_total",
                "Streams that ended before they were complete, by the cause of the last run's end.",
                "cause",
            ),
            failovers: counter(
                "dandelionroad_failovers_total",
                "Runs started beside stalled ones, by outcome.",
                "outcome",
            ),
            avoidances: counter(
                "dandelionroad_engine_avoidances_total",
                "Times that an engine was avoided from then on, by cause.",
                "cause",
            ),
            ended_buffers: counter(
                "dandelionroad_buffers_ended_total",
                "Buffers given up because their source takes the most memory, by kind of source.",
                "source",
            ),
            shortage_refusals: counter(
                "dandelionroad_shortage_refusals_total",
                "Requests of services with admission under shortage that were refused for lack of room, by rank.",
                "rank",
            ),
            first_event: histogram(
                "dandelionroad_first_event_ms",
                "Time to the first piece of a response.",
            ),
            whole_answer: histogram(
                "dandelionroad_whole_answer_ms",
                "Time to the end of a request.",
            ),
            config_version: gauge(
                "dandelionroad_config_version",
                "Version of the configuration in force.",
            ),
            store_era: gauge(
                "dandelionroad_store_era",
                "Times that the store has come back from an older copy, as it counts them.",
            ),
            config_age: gauge(
                "dandelionroad_config_age_ms",
                "Time since the configuration was last confirmed as the newest.",
            ),
            listing_age: gauge(
                "dandelionroad_listing_age_ms",
                "Time since the list of engines was last confirmed as the newest.",
            ),
            waiting_tokens: register(
                &registry,
                GaugeVec::new(
                    Opts::new(
                        "dandelionroad_waiting_tokens",
                        "Prompt and expected answer tokens that wait for capacity, as reported between processes, by priority; origin 'own' is this process.",
                    ),
                    &["origin", "priority"],
                )
                .expect("names and labels are valid"),
            ),
            running: gauge("dandelionroad_requests_running", "Requests in progress."),
            engines: gauge(
                "dandelionroad_engines_usable",
                "Engines to which requests may be sent.",
            ),
            leaving_engines: gauge(
                "dandelionroad_engines_leaving",
                "Listed engines that have said in their answers that they leave.",
            ),
            paused_engines: gauge(
                "dandelionroad_engines_paused",
                "Listed engines that have asked in their answers for no requests at present.",
            ),
            processes: gauge(
                "dandelionroad_processes_live",
                "Live relay processes, this one included.",
            ),
            crashes: gauge(
                "dandelionroad_engine_crashes_known",
                "Engine crashes that may have been caused by a request.",
            ),
            refused_parts: gauge(
                "dandelionroad_prompt_parts_refused",
                "Shared prompt parts that crash engines, so that requests with them are refused.",
            ),
            ignored_rows: gauge(
                "dandelionroad_registrations_ignored",
                "Rows in the list of engines that describe no engine, at the last read of the store.",
            ),
            held_bytes: gauge(
                "dandelionroad_held_bytes",
                "Bytes held for callers, engines and other processes.",
            ),
            dropped: gauge(
                "dandelionroad_log_lines_dropped",
                "Log lines dropped since the start.",
            ),
            registry,
        }
    }

    /// Counts a finished request and observes its latencies.
    pub fn count_request(&self, outcome: &str, first_ms: Option<u64>, whole_ms: u64) {
        self.requests.with_label_values(&[outcome]).inc();
        if let Some(first_ms) = first_ms {
            self.first_event.observe(first_ms as f64);
        }
        self.whole_answer.observe(whole_ms as f64);
    }

    /// Counts a retry, or a denied one under the cause `budget`.
    pub fn count_retry(&self, cause: &str) {
        self.retries.with_label_values(&[cause]).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self, is_done: bool) {
        let result = if is_done { "done" } else { "failed" };
        self.store_calls.with_label_values(&[result]).inc();
    }

    /// Counts a placement order to an engine.
    pub fn count_order(&self, result: &str) {
        self.orders.with_label_values(&[result]).inc();
    }

    /// Counts a background task that failed and is started again.
    pub fn count_task_failure(&self, task: &str) {
        self.task_failures.with_label_values(&[task]).inc();
    }

    /// Counts a failed connection of a caller.
    pub fn count_connection_failure(&self, cause: &str) {
        self.connection_failures.with_label_values(&[cause]).inc();
    }

    /// Counts a stream that ended before it was complete.
    pub fn count_cut_stream(&self, cause: &str) {
        self.cut_streams.with_label_values(&[cause]).inc();
    }

    /// Counts the outcome of a run that was started beside a stalled one.
    pub fn count_failover(&self, outcome: &str) {
        self.failovers.with_label_values(&[outcome]).inc();
    }

    /// Counts that an engine is avoided from now on.
    pub fn count_avoidance(&self, cause: &str) {
        self.avoidances.with_label_values(&[cause]).inc();
    }

    /// Counts a request that was refused for lack of room.
    pub fn count_shortage_refusal(&self, rank: u8) {
        self.shortage_refusals
            .with_label_values(&[rank.to_string().as_str()])
            .inc();
    }

    /// Returns the counter of the buffers that the budget of held bytes gives up.
    pub fn ended_buffers(&self) -> IntCounterVec {
        self.ended_buffers.clone()
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.set(version as f64);
    }

    /// Sets the number of rows that the last read of the list of engines ignored.
    pub fn set_ignored_rows(&self, count: usize) {
        self.ignored_rows.set(count as f64);
    }

    /// Updates the gauges from the state of the process and returns all metrics in the Prometheus text
    /// format.
    pub fn render(&self, state: &NodeState) -> Vec<u8> {
        let now = state.clock.now();
        let view = state.view.borrow();
        let age = view.config_age.age_ms(now);
        self.config_age
            .set(age.map_or(f64::INFINITY, |age| age as f64));
        let era = view.era.newest().map_or(0, StoreVersion::era);
        self.store_era.set(era as f64);
        let age = view.listing_age_ms(now);
        self.listing_age
            .set(age.map_or(f64::INFINITY, |age| age as f64));
        self.waiting_tokens.reset();
        self.set_waiting("own", view.demand.own_waiting());
        self.set_waiting("peers", view.demand.peer_waiting());
        self.running.set(f64::from(state.running_requests.get()));
        let usable = view
            .engines
            .entries()
            .iter()
            .filter(|entry| entry.is_usable(now));
        self.engines.set(usable.count() as f64);
        let (leaving, paused) = view.engines.count_unavailable(now);
        self.leaving_engines.set(leaving as f64);
        self.paused_engines.set(paused as f64);
        let processes = state.peers.borrow().live_count(now) + 1;
        self.processes.set(f64::from(processes));
        self.crashes.set(view.crashes.len() as f64);
        let refused = view.crashes.parts().refused_count();
        self.refused_parts.set(refused as f64);
        self.held_bytes.set(state.memory.held_bytes() as f64);
        self.dropped.set(dropped_lines() as f64);
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            spdlog::warn!("metrics: can't encode the metrics: {error}");
        }
        text
    }

    fn set_waiting(&self, origin: &str, waiting: Vec<(u8, f64)>) {
        for (priority, tokens) in waiting {
            let gauge = &self.waiting_tokens;
            gauge
                .with_label_values(&[origin, &priority.to_string()])
                .set(tokens);
        }
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
