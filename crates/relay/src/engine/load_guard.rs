use std::rc::Rc;

use dandelionroad_core::chain::ChainStage;
use dandelionroad_core::time::MilliTime;

use crate::node::NodeState;

/// The load that a running request puts on engines, released when the guard is dropped.
pub struct LoadGuard {
    state: Rc<NodeState>,
    /// Each engine with the KV memory reserved on it, in tokens times layers.
    loads: Vec<(String, f64)>,
    /// The prompt tokens that are still in prefill.
    prefill_tokens: f64,
    started: MilliTime,
}

impl LoadGuard {
    /// Reserves `tokens` of context on each stage of a chain, of which `prompt` need prefill, until the
    /// guard is dropped.
    pub fn for_chain(
        state: &Rc<NodeState>,
        stages: &[ChainStage],
        tokens: f64,
        prompt: f64,
    ) -> LoadGuard {
        let load = |stage: &ChainStage| (stage.id.clone(), tokens * f64::from(stage.layers.len()));
        LoadGuard::reserve(state, stages.iter().map(load).collect(), prompt)
    }

    /// Counts a call as running at an endpoint of a plain service until the guard is dropped.
    pub fn for_endpoint(state: &Rc<NodeState>, id: &str) -> LoadGuard {
        LoadGuard::reserve(state, vec![(id.to_owned(), 0.0)], 0.0)
    }

    /// Releases the prefill load, as the first event shows that prefill is done.
    pub fn finish_prefill(&mut self) {
        let prompt = std::mem::take(&mut self.prefill_tokens);
        if prompt > 0.0 {
            let mut view = self.state.view.borrow_mut();
            for (id, _) in &self.loads {
                view.engines.remove_prefill(id, prompt);
            }
            // Prompts may wait for the prefill of this one.
            if view.has_admissions() {
                self.state.capacity_freed.notify_waiters();
            }
        }
    }

    fn reserve(state: &Rc<NodeState>, loads: Vec<(String, f64)>, prompt: f64) -> LoadGuard {
        let mut view = state.view.borrow_mut();
        for (id, units) in &loads {
            view.engines.add_request(id, *units);
            view.engines.add_prefill(id, prompt);
        }
        drop(view);
        LoadGuard {
            state: Rc::clone(state),
            loads,
            prefill_tokens: prompt,
            started: state.clock.now(),
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.finish_prefill();
        let mut view = self.state.view.borrow_mut();
        for (id, units) in &self.loads {
            view.engines.remove_request(id, *units);
        }
        drop(view);
        let now = self.state.clock.now();
        let mut queue = self.state.queue.borrow_mut();
        queue.record_release(now);
        if self.loads.iter().any(|(_, units)| *units > 0.0) {
            queue.record_run(now.since(self.started));
        }
        drop(queue);
        self.state.capacity_freed.notify_waiters();
    }
}
