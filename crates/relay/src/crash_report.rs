//! Recording and reporting of engine crashes that requests may have caused.

use dandelionroad_core::relay::EngineCrash;
use dandelionroad_core::relay::PartChange;

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
    publish_part_changes(state);
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

/// Logs what has changed for prompt parts, has it sent to the other processes, and stops the runs of requests
/// whose parts are refused from now on.
pub(crate) fn publish_part_changes(state: &NodeState) {
    let (changes, has_unsent) = {
        let mut view = state.view.borrow_mut();
        let parts = view.crashes.parts_mut();
        (parts.take_changes(), parts.has_unsent())
    };
    for change in &changes {
        match change {
            PartChange::Suspected { part, engines } => {
                spdlog::info!("prompt part: suspected of crashing engines", kv: {
                    part = part.to_string(),
                    engines = *engines,
                });
            }
            PartChange::Refused { part, engines } => {
                spdlog::warn!("prompt part: refused, it crashes engines", kv: {
                    part = part.to_string(),
                    engines = *engines,
                });
                state.parts_refused.notify_waiters();
            }
            PartChange::Cleared { part } => {
                spdlog::info!("prompt part: no longer suspected of crashing engines", kv: {
                    part = part.to_string(),
                });
            }
        }
    }
    if has_unsent {
        state.crashes_changed.notify_one();
    }
}
