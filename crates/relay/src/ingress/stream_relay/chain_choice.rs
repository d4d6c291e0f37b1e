//! The choice of a chain, the engines that are left out of it, and the decision whether a request may be sent again.

use std::rc::Rc;

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::ChainStage;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::chain::ZoneShortage;
use dandelionroad_core::relay::AdmissionVerdict;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::route::hash_text;
use dandelionroad_core::time::MilliTime;

use crate::engine::probe_silent_engines;
use crate::telemetry::RequestLog;

use super::super::capacity_search::CapacitySearch;
use super::super::capacity_wait::wait_for_capacity;
use super::super::crash_check::is_crasher;
use super::super::queue_place::QueuePlace;
use super::StreamRelay;

/// A request waits for capacity until the target time to the first event, divided by this number, has
/// passed since its arrival.
///
/// Once the request is sent, the first event takes 10 % to 20 % of the target time.
const CAPACITY_WAIT_DIVISOR: u64 = 2;

/// The time for which a request whose run broke off waits for capacity, in milliseconds.
///
/// Callers disconnect after two seconds without an event; detection and the new run take the rest.
const RESUME_WAIT_MS: u64 = 600;

/// The minimum time until the deadline with which another attempt is started, in milliseconds.
pub(super) const MIN_ATTEMPT_MS: u64 = 200;

impl StreamRelay {
    /// Finds a chain, or queues the request until one has capacity.
    ///
    /// A request that has not run waits until its first event would be late. A stream that broke off has
    /// priority over the other requests, as its caller already has a part of the response.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the caller should retry, in milliseconds.
    pub(super) async fn find_chain_or_wait(
        &mut self,
        log: &mut RequestLog,
    ) -> Result<FoundChain, Option<u64>> {
        let has_run = self.plan.may_have_run();
        let is_held_up = !has_run && self.is_held_up();
        if !is_held_up && let Some(chain) = self.find_chain() {
            return Ok(chain);
        }
        if let Some(retry_ms) = self.pause_beyond_wait(log) {
            return Err(Some(retry_ms));
        }
        let state = Rc::clone(&self.state);
        let start = state.clock.now();
        let end = match self.admit_to_queue(has_run, log) {
            AdmissionVerdict::Wait(end) => end,
            AdmissionVerdict::Refuse => {
                return Err(Some(self.refuse_for_shortage(is_held_up, log)));
            }
        };
        let is_decided = self.is_shortage_controlled();
        let place = QueuePlace {
            service: self.service_key(),
            priority: self.queue_priority(),
            // All requests without an account count as one account in the fair queue.
            account: self.relay.account.map_or(0, |index| index as u64 + 1),
            tokens: is_decided.then(|| self.reserved_tokens()),
            until: end,
        };
        let probes = probe_silent_engines(
            Rc::clone(&state),
            self.relay.service().name.clone(),
            self.relay.caller.id.clone(),
        );
        let found = tokio::select! {
            biased;
            found = wait_for_capacity(&state, place, || self.search_capacity()) => found,
            () = probes => return Err(None),
        };
        log.add_wait(state.clock.now().since(start));
        found.ok_or_else(|| Some(self.refuse_for_shortage(is_held_up, log)))
    }

    /// Logs why the request is refused; returns the time after which its caller should retry, in milliseconds.
    fn refuse_for_shortage(&self, is_held_up: bool, log: &mut RequestLog) -> u64 {
        if is_held_up {
            log.add_cause("others wait");
        }
        log.add_cause(&match self.search_chain() {
            Some(_) => "chain free".to_owned(),
            None => self.shortage(),
        });
        self.return_time_ms(log)
    }

    /// Returns the time until which the request waits for a chain.
    ///
    /// Engines that are silent may be sound. If they all are, the request waits for as long as a sound engine may
    /// be silent, since its caller would come back later than that.
    pub(super) fn wait_end(&self, has_run: bool, log: &RequestLog) -> MilliTime {
        let now = self.state.clock.now();
        let end = match has_run {
            true => now.plus(RESUME_WAIT_MS),
            false => {
                let wait_ms = self.relay.route().target_ms / CAPACITY_WAIT_DIVISOR;
                log.arrival().plus(wait_ms)
            }
        };
        self.extend_for_silence(end)
    }

    /// Returns the later one of `end` and the time until which silent engines may be sound, if all are silent.
    pub(super) fn extend_for_silence(&self, end: MilliTime) -> MilliTime {
        let now = self.state.clock.now();
        let view = self.state.view.borrow();
        let model = self.relay.service().model.as_ref();
        let silence_end = model.and_then(|shape| {
            ChainFinder::new(&view.engines, &self.relay.service().name, shape)
                .silence_end(&self.excluded, now)
        });
        let end = silence_end.map_or(end, |silence_end| end.max(silence_end));
        end.min(self.relay.deadline)
    }

    /// Searches for a chain for the waiting request. If only refusals and its own history are in the way, it holds up
    /// no others: engines that have turned it away may take smaller requests.
    fn search_capacity(&self) -> CapacitySearch<FoundChain> {
        if let Some(chain) = self.find_chain() {
            return CapacitySearch::Found(chain);
        }
        let is_room_estimated = self.relay.service().model.as_ref().is_some_and(|shape| {
            let request = FinderRequest {
                excluded: &[],
                ignores_refusals: true,
                ..self.finder_request(shape)
            };
            self.search_chain_for(shape, request).is_some()
        });
        match is_room_estimated {
            true => CapacitySearch::Unsuitable,
            false => CapacitySearch::Short,
        }
    }

    /// Returns the time after which the caller should retry, in milliseconds, if engines have asked for pauses that
    /// last longer than the request may wait.
    fn pause_beyond_wait(&self, log: &mut RequestLog) -> Option<u64> {
        let now = self.state.clock.now();
        let end = {
            let view = self.state.view.borrow();
            let shape = self.relay.service().model.as_ref()?;
            let service = &self.relay.service().name;
            ChainFinder::new(&view.engines, service, shape).pause_end(now)?
        };
        let wait_ms = self.relay.route().target_ms / CAPACITY_WAIT_DIVISOR;
        if end <= log.arrival().plus(wait_ms) {
            return None;
        }
        log.add_cause(&self.shortage());
        // Successive callers come back one after the other.
        Some(end.since(now).saturating_add(self.return_time_ms(log)))
    }

    /// Returns whether the request may be sent, taking a retry from the budget if it was sent before.
    pub(super) fn may_send(&mut self, log: &mut RequestLog) -> bool {
        let left_ms = self.relay.deadline.since(self.state.clock.now());
        if self.plan.sends() == 0 {
            return left_ms > 0;
        }
        if left_ms < MIN_ATTEMPT_MS || !self.plan.may_send() {
            return false;
        }
        if is_crasher(&self.state, &self.relay) {
            log.add_cause("crashes engines");
            return false;
        }
        let is_allowed = self.plan.is_last_unsent() || self.take_retry();
        if !is_allowed {
            log.add_cause("no retry left");
        }
        is_allowed
    }

    /// Takes a retry from the budget, or uses the one that was taken when the run failed over.
    pub(super) fn take_retry(&mut self) -> bool {
        if std::mem::take(&mut self.holds_retry) {
            return true;
        }
        self.state.take_retry("stream")
    }

    /// Finds a chain, and charges the crossing budget for its crossings.
    pub(super) fn find_chain(&self) -> Option<FoundChain> {
        let chain = self.search_chain()?;
        let shape = self.relay.service().model.as_ref()?;
        let tokens = self.finder_request(shape).tokens;
        let mut view = self.state.view.borrow_mut();
        view.crossing_budget.spend(tokens, chain.crossings);
        Some(chain)
    }

    /// Searches for a chain within an availability zone, or one that crosses zones if the crossing budget
    /// allows it.
    pub(super) fn search_chain(&self) -> Option<FoundChain> {
        let shape = self.relay.service().model.as_ref()?;
        self.search_chain_for(shape, self.finder_request(shape))
    }

    fn search_chain_for(
        &self,
        shape: &ModelShape,
        mut request: FinderRequest<'_>,
    ) -> Option<FoundChain> {
        let service = &self.relay.service().name;
        let mut view = self.state.view.borrow_mut();
        let local_chain = ChainFinder::new(&view.engines, service, shape).find(&request);
        if local_chain.is_some() {
            return local_chain;
        }
        let processes = view.process_count;
        request.may_cross = view
            .crossing_budget
            .allows_crossing(shape, processes, request.now);
        if !request.may_cross {
            return None;
        }
        ChainFinder::new(&view.engines, service, shape).find(&request)
    }

    /// Returns the reason for which no availability zone has a chain at present, as it appears in logs.
    fn shortage(&self) -> String {
        let Some(shape) = self.relay.service().model.as_ref() else {
            return "no model".to_owned();
        };
        let view = self.state.view.borrow();
        let finder = ChainFinder::new(&view.engines, &self.relay.service().name, shape);
        shortage_text(&finder.shortages(&self.finder_request(shape)))
    }

    /// Records a failure of an engine, and excludes it for this request.
    pub(super) fn record_failure(&mut self, id: &str, cause: &'static str) {
        let now = self.state.clock.now();
        self.state.view.borrow_mut().engines.record_failure(id, now);
        self.state.metrics.count_avoidance(cause);
        spdlog::info!("engines: avoided: {cause}", kv: {
            engine = id,
            request = self.relay.caller.id.as_str(),
        });
        self.excluded.push(id.to_owned());
    }

    /// Records that the chain's engine at an address turned the request away, or its first engine if there is none.
    ///
    /// A first engine that has asked for a pause has said itself when it takes requests again.
    pub(super) fn record_rejection(
        &mut self,
        address: Option<&str>,
        is_paused: bool,
        chain: &[ChainStage],
    ) {
        let reported = chain
            .iter()
            .find(|stage| Some(stage.address.to_string().as_str()) == address);
        let id = reported.unwrap_or(&chain[0]).id.clone();
        if !(is_paused && id == chain[0].id) {
            let (tokens, is_resumed) = (self.reserved_tokens(), self.last_id.is_some());
            let now = self.state.clock.now();
            let mut view = self.state.view.borrow_mut();
            view.engines.record_refusal(&id, tokens, is_resumed, now);
            drop(view);
            self.state.metrics.count_avoidance("full");
            spdlog::info!("engines: full: turned a request away", kv: {
                engine = id.as_str(),
                request = self.relay.caller.id.as_str(),
                tokens = tokens,
                is_resumed = is_resumed,
            });
        }
        self.excluded.push(id);
    }

    /// Returns the context for which the request needs KV memory, in tokens.
    pub(super) fn reserved_tokens(&self) -> f64 {
        let shape = self.relay.service().model.as_ref();
        let usual_answer = shape.map_or(0.0, |shape| shape.usual_answer);
        self.relay.caller.size.reserved_tokens(usual_answer)
    }

    pub(super) fn finder_request(&self, shape: &ModelShape) -> FinderRequest<'_> {
        FinderRequest {
            tokens: self.relay.caller.size.reserved_tokens(shape.usual_answer),
            is_resumed: self.last_id.is_some(),
            ignores_refusals: false,
            zone: &self.state.settings.zone,
            excluded: &self.excluded,
            may_cross: false,
            limits: self.room_limits(),
            seed: hash_text(self.state.run_id, &self.relay.caller.id),
            now: self.state.clock.now(),
        }
    }
}

/// Formats the shortage of each availability zone for the log.
fn shortage_text(shortages: &[ZoneShortage<'_>]) -> String {
    let text = |zone: &ZoneShortage<'_>| {
        let shortage = zone.shortage;
        format!(
            "{}: {} ({})",
            zone.zone,
            shortage.as_str(),
            shortage.layer()
        )
    };
    let texts: Vec<String> = shortages.iter().map(text).collect();
    match texts.is_empty() {
        true => "no engine".to_owned(),
        false => texts.join(", "),
    }
}
