use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::time::MilliTime;

use crate::node::NodeState;

/// The slot of a request in the queue for engine capacity; it leaves the queue when it is dropped.
struct QueueSlot<'a> {
    state: &'a NodeState,
    number: u64,
}

impl Drop for QueueSlot<'_> {
    fn drop(&mut self) {
        self.state.queue.borrow_mut().remove(self.number);
        // The next request in the queue may fit where this one did not.
        self.state.capacity_freed.notify_waiters();
    }
}

/// Queues a request for engine capacity until it is first in the queue and `find` succeeds.
///
/// # Errors
///
/// Returns the delay after which the caller should retry, in milliseconds, if no capacity becomes free
/// before `until`, or if none is expected to.
pub(super) async fn wait_for_capacity<T>(
    state: &Rc<NodeState>,
    priority: u8,
    account: u64,
    until: MilliTime,
    mut find: impl FnMut() -> Option<T>,
) -> Result<T, u64> {
    let max_wait_ms = until.since(state.clock.now());
    let queued = state
        .queue
        .borrow_mut()
        .offer(priority, account, max_wait_ms);
    let Some(number) = queued else {
        return Err(retry_after_ms(state));
    };
    let slot = QueueSlot { state, number };
    loop {
        let freed = state.capacity_freed.notified();
        if state.queue.borrow().first() == Some(slot.number)
            && let Some(found) = find()
        {
            return Ok(found);
        }
        let left_ms = until.since(state.clock.now());
        let wait_result = tokio::time::timeout(Duration::from_millis(left_ms), freed).await;
        if wait_result.is_err() {
            return Err(retry_after_ms(state));
        }
    }
}

fn retry_after_ms(state: &NodeState) -> u64 {
    let now = state.clock.now();
    state.queue.borrow_mut().retry_after_ms(now)
}
