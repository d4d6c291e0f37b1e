use std::rc::Rc;

use dandelionroad_core::time::MilliTime;

use crate::node::NodeState;

use super::logged_age;

/// The record of one request, logged and counted when it is dropped.
///
/// It counts as a running request until then.
pub struct RequestLog {
    state: Rc<NodeState>,
    id: String,
    arrival: MilliTime,
    first_piece: Option<MilliTime>,
    last_piece: Option<MilliTime>,
    longest_gap_ms: u64,
    waited_ms: u64,
    /// The priority; `None` until it is known.
    priority: Option<u8>,
    /// The time for which the request was expected to wait for engine capacity, in milliseconds.
    expected_wait_ms: Option<u64>,
    /// The time after which the refused caller should retry, in milliseconds.
    retry_after_ms: Option<u64>,
    route: String,
    parts: String,
    engines: String,
    sends: u32,
    /// The age of the list of engines at the last send, in milliseconds.
    listing_age_ms: Option<u64>,
    outcome: &'static str,
    causes: String,
}

impl RequestLog {
    /// Starts the record of a request that arrived at `arrival`.
    pub fn new(state: &Rc<NodeState>, id: &str, arrival: MilliTime) -> RequestLog {
        state.running_requests.set(state.running_requests.get() + 1);
        RequestLog {
            state: Rc::clone(state),
            id: id.to_owned(),
            arrival,
            first_piece: None,
            last_piece: None,
            longest_gap_ms: 0,
            waited_ms: 0,
            priority: None,
            expected_wait_ms: None,
            retry_after_ms: None,
            route: String::new(),
            parts: String::new(),
            engines: String::new(),
            sends: 0,
            listing_age_ms: None,
            // Each regular end sets another outcome. When the caller disconnects, the request is dropped.
            outcome: "caller-left",
            causes: String::new(),
        }
    }

    /// Returns the time at which the head of the request had been received.
    pub fn arrival(&self) -> MilliTime {
        self.arrival
    }

    /// Sets the path prefix of the request's route.
    pub fn set_route(&mut self, prefix: &str) {
        self.route = prefix.to_owned();
    }

    /// Sets the identifiers of the shared parts of the prompt.
    pub fn set_parts(&mut self, parts: &[String]) {
        self.parts = parts.join(",");
    }

    /// Adds time spent in the queue for engine capacity.
    pub fn add_wait(&mut self, wait_ms: u64) {
        self.waited_ms += wait_ms;
    }

    /// Sets the priority.
    pub fn set_priority(&mut self, priority: u8) {
        self.priority = Some(priority);
    }

    /// Sets the time for which the request is expected to wait for engine capacity.
    pub fn set_expected_wait(&mut self, expected_ms: u64) {
        self.expected_wait_ms = Some(expected_ms);
    }

    /// Sets the time after which the refused caller should retry.
    pub fn set_retry_after(&mut self, retry_ms: Option<u64>) {
        self.retry_after_ms = retry_ms;
    }

    /// Records an attempt at the engines named by `engines`.
    pub fn record_send(&mut self, engines: &str) {
        self.sends += 1;
        let now = self.state.clock.now();
        self.listing_age_ms = self.state.view.borrow().listing_age_ms(now);
        if !self.engines.is_empty() {
            self.engines.push(';');
        }
        self.engines.push_str(engines);
    }

    /// Records the time at which a piece of the response is forwarded to the caller.
    pub fn record_piece(&mut self) {
        let now = self.state.clock.now();
        self.first_piece.get_or_insert(now);
        let gap_ms = self.last_piece.map_or(0, |last| now.since(last));
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        self.last_piece = Some(now);
    }

    /// Returns whether a piece of the response was forwarded to the caller.
    pub fn has_piece(&self) -> bool {
        self.first_piece.is_some()
    }

    /// Adds the cause of a failed attempt.
    pub fn add_cause(&mut self, cause: &str) {
        if !self.causes.is_empty() {
            self.causes.push_str("; ");
        }
        self.causes.push_str(cause);
    }

    /// Sets the outcome of the request.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let state = &self.state;
        state
            .running_requests
            .set(state.running_requests.get().saturating_sub(1));
        let now = state.clock.now();
        let whole_ms = now.since(self.arrival);
        let first_ms = self.first_piece.map(|first| first.since(self.arrival));
        state
            .metrics
            .count_request(self.outcome, first_ms, whole_ms);
        let view = state.view.borrow();
        spdlog::info!("request: {}", self.outcome, kv: {
            request = self.id.as_str(),
            route = self.route.as_str(),
            parts = self.parts.as_str(),
            engines = self.engines.as_str(),
            sends = self.sends,
            first_ms = first_ms.map_or(-1, |first| first as i64),
            whole_ms = whole_ms,
            gap_ms = self.longest_gap_ms,
            waited_ms = self.waited_ms,
            priority = self.priority.map_or(-1, i64::from),
            expected_wait_ms = logged_age(self.expected_wait_ms),
            retry_after_ms = logged_age(self.retry_after_ms),
            config = view.config.as_ref().map_or(0, |config| config.version),
            config_age_ms = logged_age(view.config_age.age_ms(now)),
            listing_age_ms = logged_age(self.listing_age_ms),
            cause = self.causes.as_str(),
        });
    }
}
