//! The choice of a chain, and whether a request may be sent once more.

use std::rc::Rc;

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::ChainStage;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::chain::ZoneShortage;
use dandelionroad_core::relay::ModelShape;
use dandelionroad_core::route::hash_text;

use crate::telemetry::RequestLog;

use super::super::crash_check::is_crasher;
use super::super::room_wait::wait_for_room;
use super::StreamRelay;

/// The share of the wanted time to the first event for which a request waits for room, as a divisor.
///
/// The first event takes a tenth to a fifth of that time once the request is sent.
const ROOM_WAIT_DIVISOR: u64 = 2;

/// How long a request waits for room whose run broke off, in milliseconds.
///
/// Callers leave after two seconds without an event; detection and the new run take the rest.
const RESUME_WAIT_MS: u64 = 600;

/// The priority of a request whose run broke off.
const RESUME_PRIORITY: u8 = 0;

/// The share of the wanted time to the first event that a prompt may wait at one engine, as a divisor.
///
/// Beyond it all further prompts of the chain are late. A prompt is counted at all parts of its chain
/// until its first event, so that less than half refuses requests whose wait would be short.
const CHAIN_WAIT_DIVISOR: f64 = 2.0;

/// The least time that is left for a further attempt, in milliseconds.
const LEAST_ATTEMPT_MS: u64 = 200;

impl StreamRelay {
    /// Finds a chain, or waits for room in turn.
    ///
    /// A request that was not run waits until the first event would be late; a stream that broke off
    /// waits before the others, as its caller has a part of the answer.
    pub(super) async fn find_or_wait(
        &mut self,
        log: &mut RequestLog,
    ) -> Result<FoundChain, Option<u64>> {
        let has_run = self.plan.may_have_run();
        let is_first = has_run || self.state.waiting.borrow().is_empty();
        let shortage = match is_first {
            true => match self.find_chain() {
                Some(chain) => return Ok(chain),
                None => self.shortage(),
            },
            false => "others wait".to_owned(),
        };
        let wait_ms = self.relay.route().target_ms / ROOM_WAIT_DIVISOR;
        let state = Rc::clone(&self.state);
        let begun = state.clock.now();
        let (until, priority) = match has_run {
            true => (begun.plus(RESUME_WAIT_MS), RESUME_PRIORITY),
            false => (log.arrival().plus(wait_ms), self.relay.priority()),
        };
        let until = until.min(self.relay.deadline);
        // All requests without an account take turns as one.
        let account = self.relay.account.map_or(0, |index| index as u64 + 1);
        let found = wait_for_room(&state, priority, account, until, || self.find_chain());
        let found = found.await;
        log.add_wait(state.clock.now().since(begun));
        found.map_err(|retry_ms| {
            log.add_cause(&shortage);
            Some(retry_ms)
        })
    }

    pub(super) fn may_send(&mut self, log: &mut RequestLog) -> bool {
        let left_ms = self.relay.deadline.since(self.state.clock.now());
        if self.plan.sends() == 0 {
            return left_ms > 0;
        }
        if left_ms < LEAST_ATTEMPT_MS || !self.plan.may_send() {
            return false;
        }
        if is_crasher(&self.state, &self.relay) {
            log.add_cause("crashed two engines");
            return false;
        }
        let is_allowed = self.plan.is_last_unsent() || self.take_retry();
        if !is_allowed {
            log.add_cause("no retry left");
        }
        is_allowed
    }

    /// Takes a repeated send from the budget, unless one was taken already.
    pub(super) fn take_retry(&mut self) -> bool {
        if std::mem::take(&mut self.has_retry) {
            return true;
        }
        self.state.take_retry("stream")
    }

    /// Returns whether a stalled run should be given up, because another chain can take over.
    pub(super) fn may_move(&mut self, parts: &[ChainStage]) -> bool {
        let left_ms = self.relay.deadline.since(self.state.clock.now());
        if left_ms < LEAST_ATTEMPT_MS || !self.plan.may_send_after_run() {
            return false;
        }
        let known = self.excluded.len();
        self.excluded
            .extend(parts.iter().map(|part| part.id.clone()));
        let may_move = self.find_chain().is_some() && self.take_retry();
        if may_move {
            self.has_retry = true;
        } else {
            self.excluded.truncate(known);
        }
        may_move
    }

    /// Finds a chain within a zone, or one that crosses zones if the rate between them allows it.
    fn find_chain(&self) -> Option<FoundChain> {
        let shape = self.relay.service().model.as_ref()?;
        let service = &self.relay.service().name;
        let mut view = self.state.view.borrow_mut();
        let mut request = self.finder_request(shape);
        let near = ChainFinder::new(&view.engines, service, shape).find(&request);
        if near.is_some() {
            return near;
        }
        let processes = view.process_count;
        request.may_cross = view
            .crossing_budget
            .allows_crossing(shape, processes, request.now);
        if !request.may_cross {
            return None;
        }
        let chain = ChainFinder::new(&view.engines, service, shape).find(&request)?;
        view.crossing_budget.spend(request.tokens, chain.crossings);
        Some(chain)
    }

    /// Returns what each availability zone lacks for a chain, as it appears in logs.
    fn shortage(&self) -> String {
        let Some(shape) = self.relay.service().model.as_ref() else {
            return "no model".to_owned();
        };
        let view = self.state.view.borrow();
        let finder = ChainFinder::new(&view.engines, &self.relay.service().name, shape);
        shortage_text(&finder.shortages(&self.finder_request(shape)))
    }

    fn finder_request(&self, shape: &ModelShape) -> FinderRequest<'_> {
        FinderRequest {
            tokens: self.relay.caller.size.reserved_tokens(shape.usual_answer),
            zone: &self.state.settings.zone,
            excluded: &self.excluded,
            may_cross: false,
            max_wait_ms: self.relay.route().target_ms as f64 / CHAIN_WAIT_DIVISOR,
            seed: hash_text(self.state.run_id, &self.relay.caller.id),
            now: self.state.clock.now(),
        }
    }
}

/// Returns what each availability zone lacks, as it appears in logs.
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
    texts.join(", ")
}
