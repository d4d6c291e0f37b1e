//! What engines say in their answers about new work.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::node::NodeState;
use crate::wire::ResponseHead;

/// Records what an engine says in the head of a response that is known to be its own.
///
/// Returns whether it has asked for a pause.
pub fn record_work_notice(state: &NodeState, id: &str, head: &ResponseHead) -> bool {
    let now = state.clock.now();
    if head.is_leaving && state.view.borrow_mut().engines.record_leaving(id, now) {
        spdlog::info!("engines: leaving, as it says in its answers", kv: { engine = id });
    }
    let Some(retry_after) = head.retry_after else {
        return false;
    };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let pause_ms = retry_after.delay_ms(since_epoch.map_or(0, |time| time.as_millis() as u64));
    let seed = state.run_id;
    let (was_paused, end) = {
        let mut view = state.view.borrow_mut();
        let entry = view.engines.get(id);
        let was_paused = entry.is_some_and(|entry| entry.paused_until > now);
        let end = view.engines.record_pause(id, pause_ms, seed, now);
        (was_paused, end)
    };
    if let Some(end) = end.filter(|_| !was_paused) {
        spdlog::info!("engines: paused, as it asks in its answers", kv: {
            engine = id,
            pause_ms = end.since(now),
        });
    }
    pause_ms > 0
}
