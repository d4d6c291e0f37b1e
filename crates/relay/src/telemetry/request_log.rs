use std::rc::Rc;

use dandelionroad_core::time::MilliTime;

use crate::node::NodeState;

use super::logged_age;

/// The record of one request, written as one log line and counted when it ends.
pub struct RequestLog {
    state: Rc<NodeState>,
    id: String,
    arrival: MilliTime,
    first: Option<MilliTime>,
    last_piece: Option<MilliTime>,
    longest_gap_ms: u64,
    waited_ms: u64,
    route: String,
    engines: String,
    sends: u32,
    outcome: &'static str,
    causes: String,
}

impl RequestLog {
    /// Begins the record of a request.
    pub fn new(state: &Rc<NodeState>, id: &str, arrival: MilliTime) -> RequestLog {
        state.running_requests.set(state.running_requests.get() + 1);
        RequestLog {
            state: Rc::clone(state),
            id: id.to_owned(),
            arrival,
            first: None,
            last_piece: None,
            longest_gap_ms: 0,
            waited_ms: 0,
            route: String::new(),
            engines: String::new(),
            sends: 0,
            // Overwritten by each regular end; a caller that leaves drops the request as it is.
            outcome: "caller-left",
            causes: String::new(),
        }
    }

    /// Returns when the request arrival.
    pub fn arrival(&self) -> MilliTime {
        self.arrival
    }

    /// Takes the route of the request.
    pub fn set_route(&mut self, prefix: &str) {
        self.route = prefix.to_owned();
    }

    /// Takes a wait for room at the engines.
    pub fn add_wait(&mut self, wait_ms: u64) {
        self.waited_ms += wait_ms;
    }

    /// Takes a send to the engines named by `engines`.
    pub fn record_send(&mut self, engines: &str) {
        self.sends += 1;
        if !self.engines.is_empty() {
            self.engines.push(';');
        }
        self.engines.push_str(engines);
    }

    /// Takes a piece of the answer that is passed on.
    pub fn record_piece(&mut self) {
        let now = self.state.clock.now();
        self.first.get_or_insert(now);
        let gap_ms = self.last_piece.map_or(0, |last| now.since(last));
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        self.last_piece = Some(now);
    }

    /// Returns whether an event was passed on.
    pub fn has_piece(&self) -> bool {
        self.first.is_some()
    }

    /// Takes the cause of a failed send.
    pub fn add_cause(&mut self, cause: &str) {
        if !self.causes.is_empty() {
            self.causes.push_str("; ");
        }
        self.causes.push_str(cause);
    }

    /// Takes how the request ended.
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
        let first_ms = self.first.map(|first| first.since(self.arrival));
        state
            .metrics
            .count_request(self.outcome, first_ms, whole_ms);
        let view = state.view.borrow();
        spdlog::info!("request: {}", self.outcome, kv: {
            request = self.id.as_str(),
            route = self.route.as_str(),
            engines = self.engines.as_str(),
            sends = self.sends,
            first_ms = first_ms.map_or(-1, |first| first as i64),
            whole_ms = whole_ms,
            gap_ms = self.longest_gap_ms,
            waited_ms = self.waited_ms,
            config = view.config.as_ref().map_or(0, |config| config.version),
            config_age_ms = logged_age(view.config_age.age_ms(now)),
            cause = self.causes.as_str(),
        });
    }
}
