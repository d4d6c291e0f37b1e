use std::rc::Rc;
use std::time::Duration;

use crate::node::NodeState;

use super::capacity_search::CapacitySearch;
use super::queue_place::QueuePlace;

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

/// Queues a request for engine capacity until `find` succeeds, which is called when no other request holds it up.
///
/// Returns `None` if no capacity becomes free in time, or if none is expected to.
pub(super) async fn wait_for_capacity<T>(
    state: &Rc<NodeState>,
    place: QueuePlace,
    mut find: impl FnMut() -> CapacitySearch<T>,
) -> Option<T> {
    let max_wait_ms = place.until.since(state.clock.now());
    let queued = {
        let mut queue = state.queue.borrow_mut();
        let (service, priority, account) = (place.service, place.priority, place.account);
        match place.tokens {
            Some(tokens) => Some(queue.add(service, priority, account, tokens)),
            None => queue.offer(service, priority, account, max_wait_ms),
        }
    };
    let number = queued?;
    let slot = QueueSlot { state, number };
    loop {
        let freed = state.capacity_freed.notified();
        if state.queue.borrow().is_turn(slot.number) {
            let is_passable = match find() {
                CapacitySearch::Found(found) => return Some(found),
                CapacitySearch::Short => false,
                CapacitySearch::Unsuitable => true,
            };
            let lets_pass = state
                .queue
                .borrow_mut()
                .set_passable(slot.number, is_passable);
            if lets_pass {
                state.capacity_freed.notify_waiters();
            }
        }
        let left_ms = place.until.since(state.clock.now());
        let wait_result = tokio::time::timeout(Duration::from_millis(left_ms), freed).await;
        if wait_result.is_err() {
            return None;
        }
    }
}
