//! The wait for a chain that serves the request, and the ends of attempts without an answer.

use dandelionroad_core::relay::AttemptEnd;
use dandelionroad_core::relay::LifeSign;
use hyper::http::response::Parts;

use crate::crash_report::record_refused_connection;
use crate::engine::record_life_sign;
use crate::memory::BodyPieces;
use crate::memory::HeldBytes;
use crate::telemetry::RequestLog;

use super::super::crash_check::record_answer_begun;
use super::super::crash_check::record_parts_served;
use super::super::crash_check::record_served;
use super::StreamRelay;
use super::failover::OUT_OF_BUDGET;
use super::head_outcome::HeadOutcome;
use super::run_signal::RunSignal;
use super::run_step::RunStep;

/// The outcome of waiting for a chain that serves the request.
pub(super) enum HeadWait {
    /// The first run serves the request with a stream; the head of its response.
    Served(Parts),
    /// A run has served the request with a whole answer.
    Answered(Parts, BodyPieces, HeldBytes),
    /// A chain responded with an error. Other runs may be in progress.
    Failed(Parts, BodyPieces, HeldBytes),
    /// No run is in progress any more.
    Ended,
}

impl StreamRelay {
    /// Waits until the first of the runs serves the request, until a chain responds with an error, or until all
    /// attempts have ended.
    pub(super) async fn await_head(&mut self, log: &mut RequestLog) -> HeadWait {
        loop {
            let Some(first) = self.runs.first_mut() else {
                return HeadWait::Ended;
            };
            if let Some(parts) = first.head.take() {
                return HeadWait::Served(parts);
            }
            match self.next_signal(log).await {
                RunSignal::Step(index, RunStep::Head(outcome)) => {
                    if let Some(end) = self.handle_head(index, *outcome, log) {
                        return end;
                    }
                }
                RunSignal::Step(index, RunStep::Frame(frame)) => {
                    self.handle_other_frame(index, frame, log);
                }
                RunSignal::Step(index, RunStep::OutOfBudget) => {
                    self.end_other_run(index, OUT_OF_BUDGET, log);
                }
                RunSignal::DeadlinePassed => self.end_runs(log),
                RunSignal::Refused => {
                    log.add_cause("crashes engines");
                    self.drop_runs();
                }
            }
        }
    }

    /// Handles the head of a run's response: begins the answer, or ends the attempt. Returns a whole answer or an
    /// error response.
    pub(super) fn handle_head(
        &mut self,
        index: usize,
        outcome: HeadOutcome,
        log: &mut RequestLog,
    ) -> Option<HeadWait> {
        if let HeadOutcome::Served(parts, body) = outcome {
            let timeouts = self.event_timeouts();
            let (tokens, is_resumed) = (self.reserved_tokens(), self.last_id.is_some());
            let run = &mut self.runs[index];
            let mut view = self.state.view.borrow_mut();
            for stage in &run.stages {
                view.engines.record_success(&stage.id, tokens, is_resumed);
            }
            run.timeouts = timeouts;
            run.stall = None;
            run.begin_answer(parts, body);
            if index == 0 {
                self.crash_wait = None;
            }
            return None;
        }
        if let HeadOutcome::Answered(parts, body, held) = outcome {
            self.end_answered_run(index, log);
            return Some(HeadWait::Answered(parts, body, held));
        }
        let run = self.remove_run(index);
        let first = &run.stages[0];
        let end = match outcome {
            HeadOutcome::Served(..) | HeadOutcome::Answered(..) => return None,
            HeadOutcome::Rejected {
                fault_address,
                is_paused,
            } => {
                self.record_rejection(fault_address.as_deref(), is_paused, &run.stages);
                self.record_late_rejection(&run, fault_address.as_deref());
                AttemptEnd::Rejected
            }
            HeadOutcome::Failed(parts, body, held) => {
                self.record_end(AttemptEnd::Failed, "engine failed", log);
                // The other runs may be served elsewhere before the same engine is tried again.
                if !self.runs.is_empty() {
                    self.excluded.push(first.id.clone());
                }
                return Some(HeadWait::Failed(parts, body, held));
            }
            HeadOutcome::Foreign => {
                self.excluded.push(first.id.clone());
                AttemptEnd::Broken
            }
            HeadOutcome::NotSent { is_refused } => {
                if is_refused {
                    record_refused_connection(&self.state, &first.id);
                }
                self.record_failure(&first.id, AttemptEnd::NotSent.as_str());
                AttemptEnd::NotSent
            }
            HeadOutcome::Broken => {
                let now = self.state.clock.now();
                let mut view = self.state.view.borrow_mut();
                view.engines.record_broken_answer(&first.id, now);
                drop(view);
                self.excluded.push(first.id.clone());
                self.record_broken_run(&run);
                AttemptEnd::Broken
            }
        };
        self.record_end(end, end.as_str(), log);
        None
    }

    /// Records that a run has served the request with a whole answer, and ends all runs.
    fn end_answered_run(&mut self, index: usize, log: &mut RequestLog) {
        if index > 0 {
            self.take_over(index, log);
        }
        self.end_other_runs(log);
        let run = self.remove_run(0);
        let (tokens, is_resumed) = (self.reserved_tokens(), self.last_id.is_some());
        {
            let mut view = self.state.view.borrow_mut();
            for stage in &run.stages {
                view.engines.record_success(&stage.id, tokens, is_resumed);
            }
        }
        for stage in &run.stages {
            let id = &self.relay.caller.id;
            record_life_sign(&self.state, &stage.id, LifeSign::Answer, id);
        }
        record_answer_begun(&self.state, &run.stages, run.sent_at);
        record_parts_served(&self.state, &self.relay);
        record_served(&self.state, &self.relay);
        log.record_piece();
    }
}
