//! Forwarding of a run's events to the caller.

use bytes::Bytes;
use dandelionroad_core::relay::EventFault;
use http_body_util::BodyExt;
use hyper::body::Frame;

use crate::telemetry::RequestLog;

use super::super::caller_body::CallerStream;
use super::super::crash_check::record_answer_begun;
use super::super::crash_check::record_parts_served;
use super::super::send_fault::SendFault;
use super::RunOutcome;
use super::StreamRelay;
use super::stall_reason::StallReason;
use super::stall_timeouts::StallTimeouts;

/// The time without an event after which the stream fails over to another chain, as a multiple of the
/// route's target gap between events. The chain's first engine is probed after the target gap itself.
///
/// Callers disconnect after two seconds without an event, and the new chain must prefill the prompt first.
const EVENT_GAP_FAILOVER_FACTOR: u64 = 4;

/// The number of events over which the latency ratio of a run is averaged.
const RATIO_SAMPLE_EVENTS: u64 = 8;

/// The next frame of a run's body; `None` at its end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

impl StreamRelay {
    /// Forwards events to the caller until the run or the caller's connection ends.
    pub(super) async fn forward_events(
        &mut self,
        caller: &CallerStream,
        log: &mut RequestLog,
    ) -> RunOutcome {
        loop {
            let frame = match self.next_frame().await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return RunOutcome::Broken("stream cut"),
                Ok(None) if self.splitter.has_partial_event() => {
                    return RunOutcome::Broken("event cut");
                }
                // An engine that crashes before its first event closes the connection as well.
                Ok(None) if self.is_unbegun() && !self.is_run_framed() => {
                    return RunOutcome::Broken("no event");
                }
                Ok(None) => return RunOutcome::Complete,
                Err(outcome) => return outcome,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let data_count = self.splitter.data_count();
            let complete = match self.splitter.push(&data) {
                Ok(complete) => complete,
                Err(EventFault::OutOfOrder { .. }) => {
                    return RunOutcome::Broken("event out of order");
                }
                Err(EventFault::Malformed) => return RunOutcome::Broken("malformed event"),
                Err(EventFault::TooLong) => return RunOutcome::Broken("event too long"),
            };
            if complete.is_empty() {
                continue;
            }
            let has_data = self.splitter.data_count() > data_count;
            if has_data {
                log.record_piece();
                if data_count == 0 {
                    self.record_answer_begun();
                }
                if self.progress.record_event(self.state.clock.now()) {
                    record_parts_served(&self.state, &self.relay);
                }
            }
            let left_ms = self.relay.deadline.since(self.state.clock.now());
            match caller.send(Bytes::from(complete), left_ms).await {
                Ok(()) => {}
                Err(SendFault::Closed) => return RunOutcome::CallerLeft,
                Err(SendFault::Stalled) => return RunOutcome::CallerStalled,
            }
            // The time that the caller took to read is no stall of the engine.
            if has_data {
                self.record_progress();
            }
        }
    }

    /// Records that the engines of the run have begun to answer.
    fn record_answer_begun(&self) {
        if let Some(run) = &self.run {
            record_answer_begun(&self.state, &run.stages, self.sent_at);
        }
    }

    fn is_run_framed(&self) -> bool {
        self.run.as_ref().is_some_and(|run| run.is_framed)
    }

    /// Restarts the time-outs of the run after an event, and updates the latency ratio of its engines.
    fn record_progress(&mut self) {
        let timeouts = self.event_timeouts();
        if let Some(run) = self.run.as_mut() {
            run.timeouts = timeouts;
        }
        self.observe_latency_ratio();
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
        let events = self.splitter.event_count();
        let Some(run) = self.run.as_mut() else { return };
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

    /// Waits for the next frame of the run, or until the run is given up.
    async fn next_frame(&mut self) -> Result<NextFrame, RunOutcome> {
        let Some(mut run) = self.run.take() else {
            return Err(RunOutcome::Broken("no run"));
        };
        let mut frame = std::pin::pin!(run.body.frame());
        let result = self
            .await_progress(&run.stages, &mut run.timeouts, frame.as_mut())
            .await;
        self.run = Some(run);
        result.map_err(|reason| match reason {
            StallReason::DeadlinePassed => RunOutcome::Broken("out of time"),
            StallReason::EngineLost => RunOutcome::Broken("engine lost"),
            StallReason::Refused => RunOutcome::Refused,
            StallReason::Stalled => RunOutcome::Broken("stalled"),
        })
    }
}
