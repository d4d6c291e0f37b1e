use std::time::Duration;

use tokio::sync::Notify;

use crate::node::NodeState;

/// The retry interval of the process with the lowest address, in milliseconds; it grows by the same amount
/// for each further process in the order of addresses.
const RETRY_STEP_MS: u64 = 250;

/// The maximum retry interval, in milliseconds.
///
/// It lets the only process that can reach the store notice this within half of the maximum age of the
/// configuration.
const MAX_RETRY_INTERVAL_MS: u64 = 2_000;

/// Waits before a failed call to the store is retried, or until another process reports a change.
///
/// The process with the lowest address retries often and, by its confirmations, reports to the others
/// that the store is back. The interval grows with the rank of a process, so that an outage does not
/// multiply the calls by the number of processes.
pub(super) async fn pause_after_failure(state: &NodeState, changed: &Notify) {
    let now = state.clock.now();
    let rank = state.peers.borrow().rank(state.settings.peer_address, now);
    let pause_ms = RETRY_STEP_MS * u64::from(rank + 1);
    let pause = Duration::from_millis(pause_ms.min(MAX_RETRY_INTERVAL_MS));
    // The call is retried after a change as well as after the pause.
    let _ = tokio::time::timeout(pause, changed.notified()).await;
}
