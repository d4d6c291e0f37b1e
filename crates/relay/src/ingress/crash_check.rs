//! Requests that crash the engines that run them.

use crate::crash_report::report_crashes;
use crate::node::NodeState;

use super::relay_request::RelayRequest;

/// Returns whether a request crashed two engines, so that no engine may be given it.
///
/// While no crash is known, which is the usual case, nothing is computed.
pub(super) fn is_crasher(state: &NodeState, relay: &RelayRequest) -> bool {
    if state.view.borrow().crashes.is_empty() {
        return false;
    }
    let now = state.clock.now();
    let fingerprint = relay.fingerprint();
    let mut view = state.view.borrow_mut();
    view.crashes.should_refuse(&fingerprint, now)
}

/// Takes a run that broke off before its first event.
pub(super) fn note_broken(state: &NodeState, relay: &RelayRequest, engines: &[&str]) {
    let now = state.clock.now();
    let fingerprint = relay.fingerprint();
    let crash = {
        let mut view = state.view.borrow_mut();
        let engines = engines.iter().map(|id| view.engines.incarnation(id));
        let engines: Vec<String> = engines.collect();
        view.crashes.record_broken_run(&fingerprint, &engines, now)
    };
    report_crashes(state, crash.as_slice(), "its engine was lost before");
}

/// Takes an answer to a request, which clears all equal ones, and has the other processes told.
pub(super) fn note_served(state: &NodeState, relay: &RelayRequest) {
    if state.view.borrow().crashes.is_empty() {
        return;
    }
    let fingerprint = relay.fingerprint();
    let was_suspected = state.view.borrow_mut().crashes.clear_request(&fingerprint);
    if was_suspected {
        spdlog::info!("request: served, crashes forgotten", kv: {
            request = relay.caller.id.as_str(),
            fingerprint = fingerprint.as_str(),
        });
        state.cleared_fingerprints.borrow_mut().push(fingerprint);
        state.crashes_changed.notify_one();
    }
}
