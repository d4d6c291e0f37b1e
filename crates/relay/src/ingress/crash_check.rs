//! Detection of requests that crash the engines that run them.

use crate::crash_report::report_crashes;
use crate::node::NodeState;

use super::relay_request::RelayRequest;

/// Returns whether crashes of two engines are attributed to a request, so that it must not be sent to
/// another one.
///
/// The fingerprint is computed only if any crash is known, which is rare.
pub(super) fn is_crasher(state: &NodeState, relay: &RelayRequest) -> bool {
    if state.view.borrow().crashes.is_empty() {
        return false;
    }
    let now = state.clock.now();
    let fingerprint = relay.fingerprint();
    let mut view = state.view.borrow_mut();
    view.crashes.should_refuse(&fingerprint, now)
}

/// Records that a run broke off before its first event.
pub(super) fn record_broken_run(state: &NodeState, relay: &RelayRequest, engines: &[&str]) {
    let now = state.clock.now();
    let fingerprint = relay.fingerprint();
    spdlog::info!("request: run broke off before its first event", kv: {
        request = relay.caller.id.as_str(),
        engines = engines.join("+"),
        fingerprint = fingerprint.as_str(),
        parts = relay.caller.shared_parts.join(","),
    });
    let crash = {
        let mut view = state.view.borrow_mut();
        let engines = engines.iter().map(|id| view.engines.incarnation(id));
        let engines: Vec<String> = engines.collect();
        view.crashes.record_broken_run(&fingerprint, &engines, now)
    };
    report_crashes(state, crash.as_slice(), "its engine was lost before");
}

/// Records that a request was served.
///
/// This clears the crashes of all requests with its fingerprint, at the other processes as well.
pub(super) fn record_served(state: &NodeState, relay: &RelayRequest) {
    if state.view.borrow().crashes.is_empty() {
        return;
    }
    let fingerprint = relay.fingerprint();
    let was_suspected = state.view.borrow_mut().crashes.clear_request(&fingerprint);
    if was_suspected {
        spdlog::info!("request: served, no longer suspected of crashing engines", kv: {
            request = relay.caller.id.as_str(),
            fingerprint = fingerprint.as_str(),
        });
        state.cleared_fingerprints.borrow_mut().push(fingerprint);
        state.crashes_changed.notify_one();
    }
}
