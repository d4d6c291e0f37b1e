//! Waiting for a run that may depend on a dead engine.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::chain::ChainStage;
use tokio::task::spawn_local;

use crate::engine::probe_stall;

use super::StreamRelay;
use super::stall_end::StallEnd;
use super::stall_waits::StallWaits;

/// The time after which the first engine is asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 150;

impl StreamRelay {
    /// Waits for a sign of a run; one that stalls is given up only if another chain can take over.
    ///
    /// A run that waits for a dead engine is moved as soon as that is known, also from the question of
    /// another request: the first event can then still be in time.
    pub(super) async fn watch_run<F: Future>(
        &mut self,
        parts: &[ChainStage],
        waits: StallWaits,
        mut sign: Pin<&mut F>,
    ) -> Result<F::Output, StallEnd> {
        let state = Rc::clone(&self.state);
        let begun = state.clock.now();
        let mut ask_at = begun.plus(waits.ask_ms);
        let move_at = begun.plus(waits.move_ms);
        let mut is_asked = false;
        let mut may_stall = true;
        loop {
            let now = state.clock.now();
            let left_ms = self.relay.deadline.since(now);
            if left_ms == 0 {
                return Err(StallEnd::OutOfTime);
            }
            let next = match may_stall {
                true => ask_at.min(move_at).since(now),
                false => ask_at.since(now),
            };
            let lost = state.engine_lost.notified();
            tokio::select! {
                sign = sign.as_mut() => return Ok(sign),
                () = lost, if is_asked => {}
                () = tokio::time::sleep(Duration::from_millis(next.min(left_ms))) => {}
            }
            let now = state.clock.now();
            if now >= ask_at {
                is_asked = true;
                ask_at = now.plus(ASK_AGAIN_MS);
                self.ask_first(parts);
            }
            if is_asked && self.has_lost_engine(parts) && self.may_move(parts) {
                return Err(StallEnd::EngineLost);
            }
            if now >= move_at && may_stall {
                may_stall = false;
                if self.may_move(parts) {
                    self.count_stall(parts);
                    return Err(StallEnd::Stalled);
                }
            }
        }
    }

    /// Has the first engine of a stalled run asked what it waits for.
    fn ask_first(&self, parts: &[ChainStage]) {
        let state = Rc::clone(&self.state);
        let request = self.relay.caller.id.clone();
        spawn_local(probe_stall(state, parts.to_vec(), request));
    }

    /// Returns whether an engine of the chain is said to be dead.
    fn has_lost_engine(&self, parts: &[ChainStage]) -> bool {
        let now = self.state.clock.now();
        let view = self.state.view.borrow();
        let mut engines = parts.iter().filter_map(|part| view.engines.get(&part.id));
        engines.any(|entry| entry.is_suspected(now))
    }

    /// Counts a run that was given up as stalled at its engines.
    fn count_stall(&self, parts: &[ChainStage]) {
        let now = self.state.clock.now();
        let ids: Vec<&str> = parts.iter().map(|part| part.id.as_str()).collect();
        let avoided = self.state.view.borrow_mut().engines.record_stall(&ids, now);
        for id in avoided {
            spdlog::info!("engines: avoided: runs stall", kv: {
                engine = id.as_str(),
                request = self.relay.caller.id.as_str(),
            });
        }
    }
}
