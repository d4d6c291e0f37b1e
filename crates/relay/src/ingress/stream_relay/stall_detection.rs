//! Detection of runs that stall because an engine of their chain is dead.
//!
//! A chain only shows that it makes no progress, not which engine is dead. After a first time-out, the
//! first engine is probed: its report names the engines on which its requests wait. If one of the chain's
//! engines is then suspected, the run fails over at once. After a second time-out it fails over without
//! evidence. In both cases this happens only if another chain can take over, as the run may still
//! progress.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::chain::ChainStage;
use tokio::task::spawn_local;

use crate::engine::probe_stall;

use super::StreamRelay;
use super::stall_reason::StallReason;
use super::stall_timeouts::StallTimeouts;

/// The interval at which the first engine is probed again, in milliseconds.
const REPROBE_INTERVAL_MS: u64 = 150;

impl StreamRelay {
    /// Waits for progress of a run; gives up at the deadline, if a part of its prompt is refused before its
    /// answer has begun, or if the run stalls and another chain can take over.
    ///
    /// A run that waits for a dead engine fails over as soon as the engine is suspected, even if the probe of
    /// another request led to the suspicion, so that the first event can still be in time.
    pub(super) async fn await_progress<F: Future>(
        &mut self,
        stages: &[ChainStage],
        timeouts: &mut StallTimeouts,
        mut progress: Pin<&mut F>,
    ) -> Result<F::Output, StallReason> {
        let state = Rc::clone(&self.state);
        loop {
            let now = state.clock.now();
            let left_ms = self.relay.deadline.since(now);
            if left_ms == 0 {
                return Err(StallReason::DeadlinePassed);
            }
            let next = match timeouts.failover_at {
                Some(failover_at) => timeouts.probe_at.min(failover_at),
                None => timeouts.probe_at,
            };
            let next_ms = next.since(now);
            let lost = state.engine_lost.notified();
            let refused = state.parts_refused.notified();
            tokio::select! {
                biased;
                progress = progress.as_mut() => return Ok(progress),
                () = lost, if timeouts.is_probed => {}
                () = refused, if self.is_unbegun() => {}
                () = tokio::time::sleep(Duration::from_millis(next_ms.min(left_ms))) => {}
            }
            if self.is_unbegun() && self.is_refused() {
                return Err(StallReason::Refused);
            }
            let now = state.clock.now();
            if now >= timeouts.probe_at {
                timeouts.is_probed = true;
                timeouts.probe_at = now.plus(REPROBE_INTERVAL_MS);
                self.spawn_probe(stages);
            }
            if timeouts.is_probed && self.has_suspected_engine(stages) && self.can_fail_over(stages)
            {
                return Err(StallReason::EngineLost);
            }
            if timeouts
                .failover_at
                .is_some_and(|failover_at| now >= failover_at)
            {
                timeouts.failover_at = None;
                if self.can_fail_over(stages) {
                    self.record_stall(stages);
                    return Err(StallReason::Stalled);
                }
            }
        }
    }

    /// Starts a task that probes the first engine of a stalled run.
    fn spawn_probe(&self, stages: &[ChainStage]) {
        let state = Rc::clone(&self.state);
        let request = self.relay.caller.id.clone();
        spawn_local(probe_stall(state, stages.to_vec(), request));
    }

    /// Returns whether an engine of the chain is suspected of being dead.
    fn has_suspected_engine(&self, stages: &[ChainStage]) -> bool {
        let now = self.state.clock.now();
        let view = self.state.view.borrow();
        let mut engines = stages
            .iter()
            .filter_map(|stage| view.engines.get(&stage.id));
        engines.any(|entry| entry.is_suspected(now))
    }

    /// Records a stall at each engine of the chain, and logs the engines that are avoided because of it.
    fn record_stall(&self, stages: &[ChainStage]) {
        let now = self.state.clock.now();
        let ids: Vec<&str> = stages.iter().map(|stage| stage.id.as_str()).collect();
        let avoided = self.state.view.borrow_mut().engines.record_stall(&ids, now);
        for id in avoided {
            spdlog::info!("engines: avoided: runs stall", kv: {
                engine = id.as_str(),
                request = self.relay.caller.id.as_str(),
            });
        }
    }
}
