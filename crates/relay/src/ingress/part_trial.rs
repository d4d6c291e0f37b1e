use std::rc::Rc;

use crate::node::NodeState;

use super::relay_request::RelayRequest;

/// The trial of the unproven prompt parts of a request, which ends when the value is dropped.
pub(super) struct PartTrial {
    state: Rc<NodeState>,
    number: u64,
}

impl PartTrial {
    /// Begins the trial of a request that is sent to an engine.
    pub(super) fn begin(state: &Rc<NodeState>, relay: &RelayRequest) -> PartTrial {
        let number = state.part_trials.borrow_mut().begin(&relay.shared_parts);
        PartTrial {
            state: Rc::clone(state),
            number,
        }
    }
}

impl Drop for PartTrial {
    fn drop(&mut self) {
        self.state.part_trials.borrow_mut().end(self.number);
        self.state.trial_ended.notify_waiters();
    }
}
