//! The limits, the admission and the return times of a request while engines lack room.
//!
//! Services whose configuration calls for it are decided by
//! [`ShortageAdmission`](dandelionroad_core::relay::ShortageAdmission). For the others, a request waits for a part of its
//! target time, and refused callers return one after the other.

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::RoomLimits;
use dandelionroad_core::relay::AdmissionVerdict;
use dandelionroad_core::relay::ShortageRequest;
use dandelionroad_core::route::hash_text;

use crate::telemetry::RequestLog;

use super::StreamRelay;

/// The priority or rank at which a request whose run broke off waits for capacity: the highest.
const RESUME_PRIORITY: u8 = 0;

/// The maximum queueing time of a prompt at one engine is the target time to the first event divided by
/// this number.
///
/// With a higher maximum, all further prompts of the chain are late. With a lower one, requests are refused
/// that would wait only briefly: a prompt is counted at all stages of its chain until its first event, so
/// the estimated queueing time is too high.
const QUEUE_TIME_DIVISOR: f64 = 2.0;

impl StreamRelay {
    /// Records that the request has arrived.
    pub(super) fn record_arrival(&self) {
        let (service, tokens) = (self.service_key(), self.reserved_tokens());
        let now = self.state.clock.now();
        let rank = self.queue_priority();
        let mut view = self.state.view.borrow_mut();
        if let Some(admission) = view.admission_mut(service) {
            admission.record_arrival(rank, tokens, now);
            view.demand.record_arrival(service, rank, tokens, now);
        }
    }

    /// Returns the hash of the service's name, by which its requests and their admission are found.
    pub(super) fn service_key(&self) -> u64 {
        hash_text(0, &self.relay.service().name)
    }

    /// Returns whether the configuration calls for admission under shortage of the service.
    pub(super) fn is_shortage_controlled(&self) -> bool {
        let view = self.state.view.borrow();
        view.admission(self.service_key()).is_some()
    }

    /// Returns the priority at which the request waits, or its rank if the configuration calls for admission under
    /// shortage.
    pub(super) fn queue_priority(&self) -> u8 {
        match self.plan.may_have_run() {
            true => RESUME_PRIORITY,
            false => self.rank_or_priority(),
        }
    }

    /// Returns the rank of the request under shortage, or its priority if the configuration calls for no ranks.
    pub(super) fn rank_or_priority(&self) -> u8 {
        let view = self.state.view.borrow();
        let priority = self.relay.priority();
        let admission = view.admission(self.service_key());
        admission.map_or(priority, |admission| {
            let control = admission.control();
            control.rank(priority, self.relay.route().priority)
        })
    }

    /// Returns whether requests wait that come before this one.
    pub(super) fn is_held_up(&self) -> bool {
        let service = self.service_key();
        let queue = self.state.queue.borrow();
        match self.is_shortage_controlled() {
            true => queue.holds_up_priority(service, self.queue_priority()),
            false => queue.holds_up(service),
        }
    }

    /// Returns how much of each engine the request may take.
    pub(super) fn room_limits(&self) -> RoomLimits {
        let view = self.state.view.borrow();
        match view.admission(self.service_key()) {
            Some(admission) => {
                let (rank, now) = (self.queue_priority(), self.state.clock.now());
                let reserved_tokens = view.demand.waiting_before(self.service_key(), rank);
                admission.limits(rank, reserved_tokens, now)
            }
            None => RoomLimits::whole(self.relay.route().target_ms as f64 / QUEUE_TIME_DIVISOR),
        }
    }

    /// Decides whether the request waits for room, and until when.
    ///
    /// A stream that broke off always waits, as its caller already has a part of the response.
    pub(super) fn admit_to_queue(&self, has_run: bool, log: &mut RequestLog) -> AdmissionVerdict {
        let now = self.state.clock.now();
        if has_run || !self.is_shortage_controlled() {
            return AdmissionVerdict::Wait(self.wait_end(has_run, log));
        }
        let request = self.shortage_request(log);
        let room_wait_ms = self.room_wait_ms();
        let ahead = {
            let queue = self.state.queue.borrow();
            queue.tokens_ahead(self.service_key(), request.rank)
        };
        let view = self.state.view.borrow();
        let Some(admission) = view.admission(self.service_key()) else {
            return AdmissionVerdict::Refuse;
        };
        let expected_ms = admission.expected_wait_ms(&request, room_wait_ms, ahead, now);
        log.set_expected_wait(expected_ms as u64);
        let verdict = admission.decide(&request, room_wait_ms, ahead, now);
        drop(view);
        match verdict {
            AdmissionVerdict::Wait(end) => AdmissionVerdict::Wait(self.extend_for_silence(end)),
            AdmissionVerdict::Refuse => match self.extend_for_silence(now) {
                end if end > now => AdmissionVerdict::Wait(end),
                _ => AdmissionVerdict::Refuse,
            },
        }
    }

    /// Returns the time after which the refused caller should retry, in milliseconds.
    pub(super) fn return_time_ms(&self, log: &RequestLog) -> u64 {
        let now = self.state.clock.now();
        if !self.is_shortage_controlled() {
            return self.state.queue.borrow_mut().retry_after_ms(now);
        }
        let (request, room_wait_ms) = (self.shortage_request(log), self.room_wait_ms());
        let run_ms = self.state.queue.borrow().run_ms();
        // A request that may have run is not refused: its stream is cut, or its outcome is unknown.
        if !self.plan.may_have_run() {
            self.state.metrics.count_shortage_refusal(request.rank);
        }
        let mut view = self.state.view.borrow_mut();
        let admission = view.admission_mut(self.service_key());
        admission.map_or(0, |admission| {
            admission.book_return(&request, room_wait_ms, run_ms, now)
        })
    }

    /// Returns the time until engines are expected to have room for the request, in milliseconds; `None` if that is
    /// not known.
    fn room_wait_ms(&self) -> Option<f64> {
        let shape = self.relay.service().model.as_ref()?;
        let request = self.finder_request(shape);
        let run_ms = self.state.queue.borrow().run_ms();
        let view = self.state.view.borrow();
        ChainFinder::new(&view.engines, &self.relay.service().name, shape)
            .room_wait_ms(&request, run_ms)
    }

    fn shortage_request(&self, log: &RequestLog) -> ShortageRequest {
        let route = self.relay.route();
        ShortageRequest {
            rank: self.queue_priority(),
            tokens: self.reserved_tokens(),
            target_ms: route.target_ms,
            gap_target_ms: route.gap_target_ms,
            arrival: log.arrival(),
            deadline: self.relay.deadline,
        }
    }
}
