use std::time::Duration;

use tokio::sync::Notify;

use crate::node::NodeState;

/// The pause of the first process before a call that failed is tried again, in milliseconds.
const FIRST_PAUSE_MS: u64 = 250;

/// The longest pause before a call that failed is tried again, in milliseconds.
///
/// Lets a process find out in half of the age of keys that only it can reach the store.
const MOST_PAUSE_MS: u64 = 2_000;

/// Waits before a call of the store that failed is tried again, or until another process tells of a
/// change.
///
/// The first process tries often and tells the others of the store's return; each one after it tries
/// less often, so that an outage does not multiply the calls by the number of processes.
pub(super) async fn pause_after_failure(state: &NodeState, changed: &Notify) {
    let now = state.clock.now();
    let rank = state.peers.borrow().rank(state.settings.peer_address, now);
    let pause_ms = FIRST_PAUSE_MS * u64::from(rank + 1);
    let pause = Duration::from_millis(pause_ms.min(MOST_PAUSE_MS));
    // A change or the end of the pause: the call is tried again after either.
    let _ = tokio::time::timeout(pause, changed.notified()).await;
}
