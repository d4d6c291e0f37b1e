use std::time::Duration;

use tokio::sync::Notify;

use crate::node::NodeState;

/// The retry interval of the first process in the order of election, in milliseconds; it grows by the same
/// amount for each further process.
const RETRY_STEP_MS: u64 = 250;

/// The maximum retry interval, in milliseconds.
///
/// It lets the only process that can reach the store notice this within half of the maximum age of the
/// configuration.
const MAX_RETRY_INTERVAL_MS: u64 = 2_000;

/// Returns the time until a failed call to the store is retried, in milliseconds.
///
/// The first process in the order of election retries often and, by its confirmations, reports to the others
/// that the store is back. The interval grows with the rank of a process, so that an outage does not
/// multiply the calls by the number of processes.
pub(super) fn retry_pause_ms(state: &NodeState) -> u64 {
    let rank = state.peers.borrow().rank(state.clock.now());
    (RETRY_STEP_MS * u64::from(rank + 1)).min(MAX_RETRY_INTERVAL_MS)
}

/// Waits before a failed call to the store is retried, or until another process reports a change.
pub(super) async fn pause_after_failure(state: &NodeState, changed: &Notify) {
    let pause = Duration::from_millis(retry_pause_ms(state));
    // The call is retried after a change as well as after the pause.
    let _ = tokio::time::timeout(pause, changed.notified()).await;
}
