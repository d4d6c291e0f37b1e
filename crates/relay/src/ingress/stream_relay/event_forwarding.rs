//! Forwarding of a run's events to the caller.

use bytes::Bytes;
use dandelionroad_core::relay::AttemptEnd;
use dandelionroad_core::relay::EventFault;
use dandelionroad_core::relay::LifeSign;
use hyper::body::Frame;

use crate::engine::record_life_sign;
use crate::telemetry::RequestLog;

use super::super::caller_body::CallerStream;
use super::super::crash_check::record_answer_begun;
use super::super::crash_check::record_parts_served;
use super::super::send_fault::SendFault;
use super::RunOutcome;
use super::StreamRelay;
use super::failover::OUT_OF_BUDGET;
use super::run_signal::RunSignal;
use super::run_step::RunStep;
use super::stall_timeouts::StallTimeouts;

/// The time without an event after which the stream fails over to another chain, as a multiple of the
/// route's target gap between events. The chain's first engine is probed after the target gap itself.
///
/// Callers disconnect after two seconds without an event, and the new chain must prefill the prompt first.
const EVENT_GAP_FAILOVER_FACTOR: u64 = 4;

/// The number of events over which the latency ratio of a run is averaged.
const RATIO_SAMPLE_EVENTS: u64 = 8;

impl StreamRelay {
    /// Forwards events to the caller until the answer or the caller's connection ends, or no run is left.
    pub(super) async fn forward_events(
        &mut self,
        caller: &CallerStream,
        log: &mut RequestLog,
    ) -> RunOutcome {
        while !self.runs.is_empty() {
            if let Some(outcome) = self.forward_ready(caller, log).await {
                return outcome;
            }
            if self.runs[0].is_complete {
                return RunOutcome::Complete;
            }
            match self.next_signal(log).await {
                RunSignal::Step(0, RunStep::Frame(frame)) => {
                    if self.handle_frame(frame, log) {
                        return RunOutcome::Complete;
                    }
                }
                RunSignal::Step(index, RunStep::Frame(frame)) => {
                    self.handle_other_frame(index, frame, log);
                }
                // The caller has the head of the first response, so an error response is of no use to it.
                RunSignal::Step(index, RunStep::Head(outcome)) => {
                    self.handle_head(index, *outcome, log);
                }
                RunSignal::Step(0, RunStep::OutOfBudget) => self.end_first_run(OUT_OF_BUDGET, log),
                RunSignal::Step(index, RunStep::OutOfBudget) => {
                    self.end_other_run(index, OUT_OF_BUDGET, log);
                }
                RunSignal::DeadlinePassed => self.end_runs(log),
                RunSignal::Refused => {
                    self.drop_runs();
                    return RunOutcome::Refused;
                }
            }
        }
        RunOutcome::Broken
    }

    /// Handles a frame of the first run; returns whether the answer is complete.
    fn handle_frame(
        &mut self,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
        log: &mut RequestLog,
    ) -> bool {
        let run = &mut self.runs[0];
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => {
                self.end_first_run("stream cut", log);
                return false;
            }
            None if run.splitter.has_partial_event() => {
                self.end_first_run("event cut", log);
                return false;
            }
            // An engine that crashes before its first event closes the connection as well.
            None if run.is_unbegun() && !run.is_framed() => {
                self.end_first_run("no event", log);
                return false;
            }
            None => return true,
        };
        if let Ok(data) = frame.into_data() {
            match run.splitter.push(&data) {
                Ok(complete) => {
                    run.ready = complete;
                    run.charge_buffers();
                }
                Err(fault) => self.end_first_run(fault_cause(fault), log),
            }
        }
        false
    }

    /// Forwards the complete events of the first run, which ends the other runs.
    async fn forward_ready(
        &mut self,
        caller: &CallerStream,
        log: &mut RequestLog,
    ) -> Option<RunOutcome> {
        let run = &mut self.runs[0];
        if run.ready.is_empty() {
            return None;
        }
        let events = Bytes::from(std::mem::take(&mut run.ready));
        let data_count = run.splitter.data_count();
        let has_data = data_count > run.forwarded_count;
        let is_first = run.forwarded_count == 0;
        run.forwarded_count = data_count;
        let has_new_id = run.splitter.last_id() != self.last_id;
        self.last_id = run.splitter.last_id();
        if has_data {
            log.record_piece();
            if is_first {
                record_answer_begun(&self.state, &run.stages, run.sent_at);
            }
            if run.progress.record_event(self.state.clock.now()) {
                record_parts_served(&self.state, &self.relay);
                self.trial = None;
            }
        }
        // The head of a response ends the stall, not what was recorded of it.
        let was_stalled = run.stall.is_some() || run.is_recorded;
        if has_data || has_new_id {
            run.stall = None;
            self.end_other_runs(log);
            if was_stalled {
                self.readmit_engines();
            }
        }
        if has_data {
            self.record_life_signs(was_stalled);
        }
        let left_ms = self.relay.deadline.since(self.state.clock.now());
        match caller.send(events, left_ms).await {
            Ok(()) => {}
            Err(SendFault::Closed) => return Some(RunOutcome::CallerLeft),
            Err(SendFault::Stalled) => return Some(RunOutcome::CallerStalled),
        }
        // The time that the caller took to read is no stall of the engine.
        if has_data {
            self.record_progress();
        }
        None
    }

    /// Ends the first run, which has failed. If another run stands, it becomes the first one.
    fn end_first_run(&mut self, cause: &'static str, log: &mut RequestLog) {
        let run = self.remove_run(0);
        self.record_end(AttemptEnd::Broken, cause, log);
        self.record_broken_run(&run);
        let ids = run.stages.into_iter().map(|stage| stage.id);
        self.excluded.extend(ids);
    }

    /// Restarts the time-outs of the first run after an event, and updates the latency ratio of its engines.
    fn record_progress(&mut self) {
        let timeouts = self.event_timeouts();
        let Some(run) = self.runs.first_mut() else {
            return;
        };
        run.timeouts = timeouts;
        run.is_recorded = false;
        self.observe_latency_ratio();
    }

    /// Lets the request use the engines of the first run again, which has gone on after a stall.
    fn readmit_engines(&mut self) {
        let stages = &self.runs[0].stages;
        self.excluded
            .retain(|id| stages.iter().all(|stage| stage.id != *id));
    }

    /// Records that the engines of the first run have answered, if some engine is suspected or was probed lately.
    fn record_life_signs(&self, was_stalled: bool) {
        let now = self.state.clock.now();
        if !self.state.view.borrow().engines.awaits_signs(now) {
            return;
        }
        let sign = match was_stalled {
            true => LifeSign::StalledAnswer,
            false => LifeSign::Answer,
        };
        for stage in self.runs.iter().take(1).flat_map(|run| &run.stages) {
            record_life_sign(&self.state, &stage.id, sign, &self.relay.caller.id);
        }
    }

    /// Returns the time-outs of a run that has made progress now.
    pub(super) fn event_timeouts(&self) -> StallTimeouts {
        let gap_target_ms = self.relay.route().gap_target_ms;
        StallTimeouts::new(
            self.state.clock.now(),
            gap_target_ms,
            gap_target_ms * EVENT_GAP_FAILOVER_FACTOR,
        )
    }

    /// Updates the latency ratio of the run's engines every few events.
    ///
    /// The ratio compares the time per event with the time of a step of a single request on idle engines.
    fn observe_latency_ratio(&mut self) {
        let now = self.state.clock.now();
        let Some(run) = self.runs.first_mut() else {
            return;
        };
        let events = run.splitter.event_count();
        run.load.finish_prefill();
        let Some((start, start_events)) = run.sample_start else {
            run.sample_start = Some((now, events));
            return;
        };
        let event_count = events.saturating_sub(start_events);
        if event_count < RATIO_SAMPLE_EVENTS {
            return;
        }
        run.sample_start = Some((now, events));
        let event_ms = now.since(start) as f64 / event_count as f64;
        let ratio = event_ms / run.unloaded_step_ms.max(1e-9);
        let ids = run.stages.iter().map(|stage| stage.id.as_str());
        let mut view = self.state.view.borrow_mut();
        view.engines.observe_latency_ratio(ids, ratio, now);
    }
}

/// Returns why bytes of a run are not passed on, as it appears in logs and metrics.
pub(in crate::ingress) fn fault_cause(fault: EventFault) -> &'static str {
    match fault {
        EventFault::OutOfOrder { .. } => "event out of order",
        EventFault::Malformed => "malformed event",
        EventFault::TooLong => "event too long",
    }
}
