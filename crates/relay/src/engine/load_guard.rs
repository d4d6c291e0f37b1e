use std::rc::Rc;

use dandelionroad_core::chain::ChainStage;

use crate::node::NodeState;

/// The share of engines that a running request takes; given back when it is dropped.
pub struct LoadGuard {
    state: Rc<NodeState>,
    /// Each engine with the memory taken there, in tokens times layers.
    loads: Vec<(String, f64)>,
    /// The prompt tokens that are still to be read.
    reading: f64,
}

impl LoadGuard {
    /// Takes `tokens` of context at each part of a chain, `prompt` of which are to be read first.
    pub fn for_chain(
        state: &Rc<NodeState>,
        parts: &[ChainStage],
        tokens: f64,
        prompt: f64,
    ) -> LoadGuard {
        let load = |part: &ChainStage| (part.id.clone(), tokens * f64::from(part.layers.len()));
        LoadGuard::reserve(state, parts.iter().map(load).collect(), prompt)
    }

    /// Takes a place at an endpoint of a plain service.
    pub fn for_endpoint(state: &Rc<NodeState>, id: &str) -> LoadGuard {
        LoadGuard::reserve(state, vec![(id.to_owned(), 0.0)], 0.0)
    }

    /// Takes the first event, before which the prompt was read.
    pub fn finish_reading(&mut self) {
        let prompt = std::mem::take(&mut self.reading);
        if prompt > 0.0 {
            let mut view = self.state.view.borrow_mut();
            for (id, _) in &self.loads {
                view.engines.remove_prefill(id, prompt);
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
            reading: prompt,
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.finish_reading();
        let mut view = self.state.view.borrow_mut();
        for (id, units) in &self.loads {
            view.engines.remove_request(id, *units);
        }
        self.state
            .waiting
            .borrow_mut()
            .record_release(self.state.clock.now());
        self.state.room_freed.notify_waiters();
    }
}
