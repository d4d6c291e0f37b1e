//! Requests that crash the engines that run them.

use dandelionroad_core::relay::CrashedRun;

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
    view.crashes.refuses(&fingerprint, now)
}

/// Takes a run that broke off before its first event, the `sends`th of its request.
pub(super) fn note_broken(state: &NodeState, relay: &RelayRequest, sends: u32, engines: &[&str]) {
    let now = state.clock.now();
    let broken = CrashedRun {
        fingerprint: relay.fingerprint(),
        run: format!("{}/{sends}", relay.caller.id),
    };
    let engines = engines.iter().map(|&id| id.to_owned()).collect();
    let crashed = {
        let mut view = state.view.borrow_mut();
        view.crashes.break_off(broken, engines, now)
    };
    report_crashes(state, &crashed, "its engine was lost before");
}

/// Takes a request that was served, which clears it.
pub(super) fn note_served(state: &NodeState, relay: &RelayRequest) {
    if state.view.borrow().crashes.is_empty() {
        return;
    }
    let fingerprint = relay.fingerprint();
    state.view.borrow_mut().crashes.complete(&fingerprint);
}
