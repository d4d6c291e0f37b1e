//! What this process learns of requests that crash engines.

use dandelionroad_core::relay::CrashedRun;

use crate::node::NodeState;

/// Takes the loss of an engine, and writes down the requests that may have crashed it.
pub(crate) fn lose_engine(state: &NodeState, id: &str, cause: &str) {
    let now = state.clock.now();
    let crashed = state.view.borrow_mut().crashes.lose_engine(id, now);
    report_crashes(state, &crashed, cause);
}

/// Writes down crashes that are new, and has the other processes told.
pub(crate) fn report_crashes(state: &NodeState, crashed: &[CrashedRun], cause: &str) {
    for crash in crashed {
        spdlog::warn!("request: may have crashed an engine: {cause}", kv: {
            run = crash.run.as_str(),
            fingerprint = crash.fingerprint.as_str(),
        });
    }
    if !crashed.is_empty() {
        state.crashed.notify_one();
    }
}
