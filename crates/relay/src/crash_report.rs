//! What this process learns of requests that crash engines.

use dandelionroad_core::relay::EngineCrash;

use crate::node::NodeState;

/// Takes the refusal of a connection by an engine as its loss.
pub(crate) fn note_refused_connection(state: &NodeState, id: &str) {
    let incarnation = state.view.borrow().engines.incarnation(id);
    note_lost_engine(state, &incarnation, "it refuses connections");
}

/// Takes the loss of an incarnation of an engine, and writes down the requests that may have crashed it.
pub(crate) fn note_lost_engine(state: &NodeState, incarnation: &str, cause: &str) {
    let now = state.clock.now();
    let crashes = {
        let mut view = state.view.borrow_mut();
        view.crashes.record_engine_loss(incarnation, now)
    };
    report_crashes(state, &crashes, cause);
}

/// Writes down crashes that are new, and has the other processes told.
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
