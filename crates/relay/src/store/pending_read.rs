use std::rc::Rc;

use dandelionroad_core::time::MilliTime;

use crate::node::NodeState;

/// A read of the store in progress, which is recorded until it is dropped.
pub(super) struct PendingRead {
    state: Rc<NodeState>,
    start: MilliTime,
    due: MilliTime,
}

impl PendingRead {
    /// Records a read that started at `start` and is overdue after `wait_ms`, in milliseconds.
    pub(super) fn begin(state: &Rc<NodeState>, start: MilliTime, wait_ms: u64) -> PendingRead {
        let mut view = state.view.borrow_mut();
        let due = start.plus(wait_ms);
        view.store_contact.begin_read(start, due);
        PendingRead {
            state: Rc::clone(state),
            start,
            due,
        }
    }
}

impl Drop for PendingRead {
    fn drop(&mut self) {
        let mut view = self.state.view.borrow_mut();
        view.store_contact.end_read(self.start, self.due);
    }
}
