//! Recovery from heads and stages that fail, refuse or are silent.

use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;
use crate::time::MilliTime;

use super::super::FaultKind;
use super::super::StreamAction;
use super::super::StreamEvent;
use super::StreamMachine;
use super::stream_phase::StreamPhase;

/// The number of crashes after which a request is not retried any more.
const MAX_CRASHES: u32 = 2;

impl StreamMachine {
    /// Returns whether an event of the newest attempt counts: also while a route is sought because the head was
    /// silent, unless the head refuses.
    pub(super) fn accepts(&self, event: &StreamEvent) -> bool {
        match self.phase {
            StreamPhase::Streaming => true,
            StreamPhase::Routing { .. } => {
                self.is_head_silent && !matches!(event, StreamEvent::Refused { .. })
            }
            StreamPhase::CountingCrash { .. } | StreamPhase::Done => false,
        }
    }

    /// Ends the search for a route, as the head has sent an event after its silence.
    pub(super) fn resume_attempt(&mut self) {
        if std::mem::take(&mut self.is_head_silent) {
            let head = self.order.route.stages.first();
            let head = head.map(|head| &head.endpoint);
            self.excluded.retain(|excluded| Some(excluded) != head);
            self.phase = StreamPhase::Streaming;
        }
    }

    /// Returns whether the limit of attempts that may have run is reached.
    pub(super) fn is_last_attempt(&self) -> bool {
        self.attempts - self.refusals >= self.limits.max_attempts
    }

    /// Reopens the stream at the same head over a new connection, or replaces the head if it has
    /// not sent an event since the last reopening.
    pub(super) fn reopen(
        &mut self,
        kind: FaultKind,
        now: MilliTime,
        actions: &mut Vec<StreamAction>,
    ) {
        if self.is_reopened {
            self.replace_stage(0, kind, now, actions);
        } else {
            self.is_reopened = true;
            self.open(true, now, actions);
        }
    }

    pub(super) fn replace_stage(
        &mut self,
        stage: usize,
        kind: FaultKind,
        now: MilliTime,
        actions: &mut Vec<StreamAction>,
    ) {
        let Some(failed) = self.order.route.stages.get(stage) else {
            return;
        };
        self.phase = StreamPhase::Routing { retry_at: None };
        if let Err(index) = self.excluded.binary_search(&failed.endpoint) {
            self.excluded.insert(index, failed.endpoint.clone());
        }
        match kind {
            FaultKind::EngineCrash => self.engine_crashes += 1,
            // A head that was lost before it sent any event has not run the request.
            FaultKind::Unreachable if stage > 0 || self.has_responded => self.lost_processes += 1,
            _ => {
                self.reroute(Some(stage), now, actions);
                return;
            }
        }
        // Lost processes count only until the next token: a request that survives two host failures
        // in a row makes progress between them, a request that causes crashes does not.
        if self.engine_crashes + self.lost_processes >= MAX_CRASHES {
            actions.push(StreamAction::CountCrash { must_wait: false });
            self.fail(RequestOutcome::Failed, RefusalReason::Crasher, actions);
            return;
        }
        let must_wait = kind == FaultKind::EngineCrash;
        actions.push(StreamAction::CountCrash { must_wait });
        if must_wait {
            self.phase = StreamPhase::CountingCrash { stage };
        } else {
            self.reroute(Some(stage), now, actions);
        }
    }

    pub(super) fn reroute(
        &mut self,
        replace: Option<usize>,
        now: MilliTime,
        actions: &mut Vec<StreamAction>,
    ) {
        if self.is_last_attempt() {
            self.give_up(RefusalReason::EndpointLost, actions);
            return;
        }
        self.idle_since = now;
        self.phase = StreamPhase::Routing { retry_at: None };
        actions.push(StreamAction::ChooseRoute {
            current: replace.map(|_| self.order.route.clone()),
            replace,
        });
    }

    pub(super) fn wait_for_route(&mut self, now: MilliTime, actions: &mut Vec<StreamAction>) {
        let is_first = self.attempts == 0;
        if is_first || (!self.has_run && self.refusal.is_some()) {
            self.give_up(RefusalReason::NoEndpoint, actions);
            return;
        }
        let retry_at = Some(now.plus(self.limits.route_retry_ms));
        self.phase = StreamPhase::Routing { retry_at };
    }
}
