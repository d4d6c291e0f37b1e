//! Recording and reporting of engine crashes that requests may have caused.

use dandelionroad_core::relay::EngineCrash;

use crate::node::NodeState;

/// Records the loss of an engine that refuses connections.
pub(crate) fn record_refused_connection(state: &NodeState, id: &str) {
    let incarnation = state.view.borrow().engines.incarnation(id);
    record_engine_loss(state, &incarnation, "it refuses connections");
}

/// Records the loss of an incarnation of an engine, and reports the requests that may have crashed it.
pub(crate) fn record_engine_loss(state: &NodeState, incarnation: &str, cause: &str) {
    let now = state.clock.now();
    let crashes = {
        let mut view = state.view.borrow_mut();
        view.crashes.record_engine_loss(incarnation, now)
    };
    report_crashes(state, &crashes, cause);
}

/// Logs new crashes and has them sent to the other processes.
pub(crate) fn report_crashes(state: &NodeState, crashes: &[EngineCrash], cause: &str) {
    for crash in crashes {
        spdlog::warn!("request: may have crashed an engine: {cause}", kv: {
            engine = crash.engine.as_str(),
            fingerprint = crash.fingerprint.as_str(),
        });
    }
    if !crashes.is_empty() {
        state.crashes_changed.notify_one();
    }
}
