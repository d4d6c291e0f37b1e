//! Runs that are started beside stalled ones, and the choice of the run that continues the answer.
//!
//! A run ends only if it fails itself or if another one has taken its place, which means that the other one has
//! sent a new event. Until then all of them stand, and each counts against the limits of the request.

use std::rc::Rc;

use bytes::Bytes;
use dandelionroad_core::relay::AttemptEnd;
use hyper::body::Frame;

use crate::telemetry::RequestLog;

use super::super::crash_check::is_crasher;
use super::StreamRelay;
use super::chain_choice::MIN_ATTEMPT_MS;
use super::chain_run::ChainRun;
use super::crash_wait::await_crash_reports;
use super::event_forwarding::fault_cause;
use super::stall_reason::StallReason;

/// The outcomes of runs that were started beside stalled ones, as they appear in metrics.
const TAKEN_OVER: &str = "taken-over";
const WENT_ON: &str = "went-on";
const FAILED: &str = "failed";

/// The cause of the end of a run whose buffers were given up, as it appears in logs and metrics.
pub(in crate::ingress) const OUT_OF_BUDGET: &str = "out of memory budget";

/// The minimum time between two runs that are started beside stalled ones, in milliseconds.
///
/// The number of attempts is limited, and engines that turn the request away do so within milliseconds.
const FAILOVER_SPACING_MS: u64 = 100;

impl StreamRelay {
    /// Starts another run if all runs in progress stall, and a chain and a retry are available.
    pub(super) fn try_fail_over(&mut self, log: &mut RequestLog) {
        let now = self.state.clock.now();
        if self.crash_wait.is_some() || now < self.next_failover || !self.may_fail_over(log) {
            return;
        }
        let excluded_count = self.excluded.len();
        let stages = self.runs.iter().flat_map(|run| &run.stages);
        let ids: Vec<String> = stages.map(|stage| stage.id.clone()).collect();
        self.excluded.extend(ids);
        if self.search_chain().is_none() || !self.hold_retry(log) {
            self.excluded.truncate(excluded_count);
            return;
        }
        self.next_failover = now.plus(FAILOVER_SPACING_MS);
        self.record_stalled_runs(log);
        let broken = std::mem::take(&mut self.broken_engines);
        let wait = await_crash_reports(Rc::clone(&self.state), Rc::clone(&self.relay), broken);
        self.crash_wait = Some(Box::pin(wait));
    }

    /// Sends the request to another chain, if the runs in progress still stall, no part of it was found to crash
    /// engines, and the chain still has room.
    pub(super) fn start_other_run(&mut self, log: &mut RequestLog) {
        if !self.holds_retry || !self.may_fail_over(log) {
            return;
        }
        if let Some(chain) = self.find_chain() {
            self.holds_retry = false;
            self.start_run(chain, log);
        }
    }

    /// Handles a frame of a run other than the first one. With its first event, the run takes over.
    pub(super) fn handle_other_frame(
        &mut self,
        index: usize,
        frame: Option<Result<Frame<Bytes>, hyper::Error>>,
        log: &mut RequestLog,
    ) {
        let run = &mut self.runs[index];
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return self.end_other_run(index, "stream cut", log),
            // The caller has all events already.
            None if run.is_framed() && !run.splitter.has_partial_event() => {
                run.is_complete = true;
                return self.take_over(index, log);
            }
            None => return self.end_other_run(index, "event cut", log),
        };
        let Ok(data) = frame.into_data() else {
            return;
        };
        let run = &mut self.runs[index];
        match run.splitter.push(&data) {
            Ok(complete) => {
                run.ready.extend_from_slice(&complete);
                run.charge_buffers();
            }
            Err(fault) => return self.end_other_run(index, fault_cause(fault), log),
        }
        if !run.is_unbegun() {
            self.take_over(index, log);
        }
    }

    /// Ends the runs that were started beside the first one, as that one goes on.
    pub(super) fn end_other_runs(&mut self, log: &mut RequestLog) {
        self.crash_wait = None;
        // Until the next attempt, their engines may be back under the same names.
        self.broken_engines.clear();
        for _ in self.runs.drain(1..) {
            self.plan.record_end(AttemptEnd::Broken);
            self.state.metrics.count_failover(WENT_ON);
            log.add_cause("went on");
        }
    }

    /// Makes a run the first one, and ends the others.
    pub(super) fn take_over(&mut self, index: usize, log: &mut RequestLog) {
        let winner = self.runs.swap_remove(index);
        for _ in self.runs.drain(..) {
            self.plan.record_end(AttemptEnd::Broken);
            self.state.metrics.count_failover(TAKEN_OVER);
        }
        log.add_cause("taken over");
        self.runs.push(winner);
        self.crash_wait = None;
    }

    pub(super) fn end_other_run(
        &mut self,
        index: usize,
        cause: &'static str,
        log: &mut RequestLog,
    ) {
        let run = self.remove_run(index);
        self.record_end(AttemptEnd::Broken, cause, log);
        self.state.metrics.count_failover(FAILED);
        self.record_broken_run(&run);
        let ids = run.stages.into_iter().map(|stage| stage.id);
        self.excluded.extend(ids);
    }

    /// Returns whether all runs in progress stall and another one may be started beside them.
    fn may_fail_over(&mut self, log: &mut RequestLog) -> bool {
        let is_stalled = !self.runs.is_empty() && self.runs.iter().all(|run| run.stall.is_some());
        if !is_stalled || self.is_barred {
            return false;
        }
        let left_ms = self.relay.deadline.since(self.state.clock.now());
        // Without event identifiers, another run would repeat events that the caller already has.
        let may_resume = self.last_id.is_some() || !log.has_piece();
        if left_ms < MIN_ATTEMPT_MS || !may_resume || !self.plan.may_send_beside(self.runs.len()) {
            return false;
        }
        self.is_barred = is_crasher(&self.state, &self.relay);
        if self.is_barred {
            log.add_cause("crashes engines");
        }
        !self.is_barred
    }

    /// Takes a retry from the budget, unless the request holds one; returns whether it holds one now.
    fn hold_retry(&mut self, log: &mut RequestLog) -> bool {
        self.holds_retry = self.plan.is_last_unsent() || self.take_retry();
        if !self.holds_retry && !self.has_logged_budget {
            self.has_logged_budget = true;
            log.add_cause("no retry left");
        }
        self.holds_retry
    }

    /// Records the stalls of the runs in progress, each once until it makes progress again.
    fn record_stalled_runs(&mut self, log: &mut RequestLog) {
        let mut runs = std::mem::take(&mut self.runs);
        for run in &mut runs {
            if !run.is_recorded {
                self.record_broken_run(run);
                run.is_recorded = true;
            }
            if let Some(reason) = run.stall {
                log.add_cause(reason.as_str());
                if reason == StallReason::Stalled {
                    self.record_stall(&run.stages);
                }
            }
        }
        self.runs = runs;
    }

    /// Removes a run. Without any run left, no other one is started beside.
    pub(super) fn remove_run(&mut self, index: usize) -> ChainRun {
        let run = self.runs.remove(index);
        if self.runs.is_empty() {
            self.crash_wait = None;
        }
        run
    }

    /// Ends the runs that have not begun to answer, as a part of the prompt is refused; returns whether the first
    /// run is one of them.
    pub(super) fn end_unbegun_runs(&mut self) -> bool {
        self.is_barred = true;
        self.crash_wait = None;
        let is_first = self.runs.first().is_none_or(ChainRun::is_unbegun);
        if !is_first {
            let count = self.runs.len();
            self.runs.retain(|run| !run.is_unbegun());
            for _ in self.runs.len()..count {
                self.plan.record_end(AttemptEnd::Broken);
            }
        }
        is_first
    }

    /// Ends all runs at the deadline.
    pub(super) fn end_runs(&mut self, log: &mut RequestLog) {
        let runs: Vec<ChainRun> = self.runs.drain(..).collect();
        for run in &runs {
            self.record_end(AttemptEnd::Broken, "out of time", log);
            self.record_broken_run(run);
        }
        self.crash_wait = None;
    }

    /// Ends all runs without a record of their engines.
    pub(super) fn drop_runs(&mut self) {
        for _ in self.runs.drain(..) {
            self.plan.record_end(AttemptEnd::Broken);
        }
        self.crash_wait = None;
    }

    /// Records how an attempt ended, with the cause as it appears in logs and metrics.
    pub(super) fn record_end(
        &mut self,
        end: AttemptEnd,
        cause: &'static str,
        log: &mut RequestLog,
    ) {
        self.plan.record_end(end);
        self.last_cause = cause;
        log.add_cause(cause);
    }
}
