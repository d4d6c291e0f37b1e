use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::time::MilliTime;

use crate::node::NodeState;

/// A place among the requests that wait for room; given up when it is dropped.
struct RoomPlace<'a> {
    state: &'a NodeState,
    number: u64,
}

impl Drop for RoomPlace<'_> {
    fn drop(&mut self) {
        self.state.waiting.borrow_mut().remove(self.number);
        // The next one may fit where this one did not.
        self.state.room_freed.notify_waiters();
    }
}

/// Waits for the turn of a request until `find` finds room for it.
///
/// # Errors
///
/// Returns the time after which the caller should return, in milliseconds, if there is no room
/// before `until` or none is expected by then.
pub(super) async fn wait_for_room<T>(
    state: &Rc<NodeState>,
    priority: u8,
    account: u64,
    until: MilliTime,
    mut find: impl FnMut() -> Option<T>,
) -> Result<T, u64> {
    let most_ms = until.since(state.clock.now());
    let offered = state.waiting.borrow_mut().offer(priority, account, most_ms);
    let Some(number) = offered else {
        return Err(retry_after_ms(state));
    };
    let place = RoomPlace { state, number };
    loop {
        let woken = state.room_freed.notified();
        if state.waiting.borrow().first() == Some(place.number)
            && let Some(found) = find()
        {
            return Ok(found);
        }
        let left_ms = until.since(state.clock.now());
        let is_woken = tokio::time::timeout(Duration::from_millis(left_ms), woken).await;
        if is_woken.is_err() {
            return Err(retry_after_ms(state));
        }
    }
}

fn retry_after_ms(state: &NodeState) -> u64 {
    let now = state.clock.now();
    state.waiting.borrow_mut().retry_after_ms(now)
}
