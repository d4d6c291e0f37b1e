//! Detection of runs that stall because an engine of their chain is dead or silent.
//!
//! A chain only shows that it makes no progress, not which engine is dead. After a first time-out, the
//! first engine is probed: its report names the engines on which its requests wait. A run counts as stalled if
//! one of the chain's engines is then suspected, or after a second time-out without evidence.

use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::chain::ChainStage;
use tokio::task::spawn_local;

use crate::engine::probe_stall;
use crate::telemetry::RequestLog;

use super::StreamRelay;
use super::chain_run::ChainRun;
use super::chain_run::next_step;
use super::run_signal::RunSignal;
use super::stall_reason::StallReason;

/// The interval at which the first engine is probed again, in milliseconds.
const REPROBE_INTERVAL_MS: u64 = 150;

impl StreamRelay {
    /// Waits until something arrives from one of the runs; gives up at the deadline, or if a part of the prompt is
    /// refused before the answer has begun.
    ///
    /// Another run is started when all of them stall. A run that waits for a dead engine counts as stalled as soon
    /// as the engine is suspected, even if the probe of another request led to the suspicion, so that the first
    /// event can still be in time.
    pub(super) async fn next_signal(&mut self, log: &mut RequestLog) -> RunSignal {
        let state = Rc::clone(&self.state);
        loop {
            // An attempt beside stalled runs may just have ended.
            self.try_fail_over(log);
            let now = state.clock.now();
            let left_ms = self.relay.deadline.since(now);
            if left_ms == 0 {
                return RunSignal::DeadlinePassed;
            }
            let next = self.runs.iter().map(|run| run.next_check()).min();
            let next_ms = next.map_or(left_ms, |next| next.since(now).min(left_ms));
            let is_probed = self.runs.iter().any(|run| run.timeouts.is_probed);
            let has_unbegun = self.runs.iter().any(ChainRun::is_unbegun);
            let lost = state.engine_lost.notified();
            let refused = state.parts_refused.notified();
            let crash_wait = async {
                match &mut self.crash_wait {
                    Some(wait) => wait.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                (index, step) = next_step(&mut self.runs) => return RunSignal::Step(index, step),
                () = crash_wait => {
                    self.crash_wait = None;
                    self.start_other_run(log);
                }
                () = lost, if is_probed => {}
                () = refused, if has_unbegun => {}
                () = tokio::time::sleep(Duration::from_millis(next_ms)) => {}
            }
            if has_unbegun && self.is_refused() && self.end_unbegun_runs() {
                return RunSignal::Refused;
            }
            self.check_runs();
        }
    }

    /// Probes the runs whose time has come, and notes which of them stall.
    fn check_runs(&mut self) {
        let now = self.state.clock.now();
        let mut runs = std::mem::take(&mut self.runs);
        for run in &mut runs {
            if now >= run.timeouts.probe_at {
                run.timeouts.is_probed = true;
                run.timeouts.probe_at = now.plus(REPROBE_INTERVAL_MS);
                self.spawn_probe(&run.stages);
            }
            if run.timeouts.is_probed && self.has_suspected_engine(&run.stages) {
                run.stall.get_or_insert(StallReason::EngineLost);
            }
            let failover_at = run.timeouts.failover_at;
            if failover_at.is_some_and(|failover_at| now >= failover_at) {
                run.timeouts.failover_at = None;
                run.stall.get_or_insert(StallReason::Stalled);
            }
        }
        self.runs = runs;
    }

    /// Starts a task that probes the first engine of a stalled run.
    fn spawn_probe(&self, stages: &[ChainStage]) {
        let Some(first) = stages.first() else { return };
        let state = Rc::clone(&self.state);
        let request = self.relay.caller.id.clone();
        spawn_local(probe_stall(state, first.id.clone(), first.address, request));
    }

    /// Returns whether an engine of the chain is suspected of being dead.
    fn has_suspected_engine(&self, stages: &[ChainStage]) -> bool {
        let now = self.state.clock.now();
        let view = self.state.view.borrow();
        let mut engines = stages
            .iter()
            .filter_map(|stage| view.engines.get(&stage.id));
        engines.any(|entry| entry.marks.is_suspected(now))
    }

    /// Records a stall at each engine of the chain, and logs the engines that are avoided because of it.
    pub(super) fn record_stall(&self, stages: &[ChainStage]) {
        let now = self.state.clock.now();
        let ids: Vec<&str> = stages.iter().map(|stage| stage.id.as_str()).collect();
        let avoided = self.state.view.borrow_mut().engines.record_stall(&ids, now);
        for id in avoided {
            self.state.metrics.count_avoidance("stalled");
            spdlog::info!("engines: avoided: runs stall", kv: {
                engine = id.as_str(),
                request = self.relay.caller.id.as_str(),
            });
        }
    }
}
