//! Detection of requests that crash the engines that run them.

use dandelionroad_core::chain::ChainStage;
use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::relay::RunPhase;
use dandelionroad_core::time::MilliTime;

use crate::crash_report::publish_part_changes;
use crate::crash_report::report_crashes;
use crate::node::NodeState;

use super::relay_request::RelayRequest;

/// Returns how a new request may be handled: not at all if crashes of engines are attributed to it or to a
/// shared part of its prompt.
pub(super) fn admit_suspect(state: &NodeState, relay: &RelayRequest) -> PartVerdict {
    if is_known_crasher(state, relay) {
        return PartVerdict::Refused;
    }
    let verdict = part_verdict(state, relay);
    if verdict != PartVerdict::Refused {
        return verdict;
    }
    let now = state.clock.now();
    let rank = state.peers.borrow().rank(now);
    let mut view = state.view.borrow_mut();
    let parts = view.crashes.parts_mut();
    parts.admit(&relay.shared_parts, rank, now)
}

/// Returns whether crashes of engines are attributed to a request or to a shared part of its prompt, so that
/// it must not be sent to another one.
pub(super) fn is_crasher(state: &NodeState, relay: &RelayRequest) -> bool {
    has_refused_part(state, relay) || is_known_crasher(state, relay)
}

/// Returns whether crashes of engines are attributed to a shared part of the request's prompt.
pub(super) fn has_refused_part(state: &NodeState, relay: &RelayRequest) -> bool {
    part_verdict(state, relay) == PartVerdict::Refused
}

/// Returns the shared parts of the prompt that may have crashed an engine and are not refused.
pub(super) fn suspected_parts(state: &NodeState, relay: &RelayRequest) -> Vec<PromptPart> {
    let view = state.view.borrow();
    let ledger = view.crashes.parts();
    let parts = relay.shared_parts.iter().copied();
    parts
        .filter(|part| ledger.verdict(&[*part]) == PartVerdict::Suspected)
        .collect()
}

/// Returns whether no request is known to have been served with one of the shared parts of the prompt.
pub(super) fn has_unproven_part(state: &NodeState, relay: &RelayRequest) -> bool {
    let view = state.view.borrow();
    view.crashes.parts().has_unproven(&relay.shared_parts)
}

/// Returns how a request may be handled in view of the shared parts of its prompt.
pub(super) fn part_verdict(state: &NodeState, relay: &RelayRequest) -> PartVerdict {
    let view = state.view.borrow();
    view.crashes.parts().verdict(&relay.shared_parts)
}

/// Returns whether crashes of two engines are attributed to requests equal to this one.
///
/// The fingerprint is computed only if any crash is known, which is rare.
fn is_known_crasher(state: &NodeState, relay: &RelayRequest) -> bool {
    if state.view.borrow().crashes.is_empty() {
        return false;
    }
    let now = state.clock.now();
    let fingerprint = relay.fingerprint();
    let mut view = state.view.borrow_mut();
    view.crashes.should_refuse(&fingerprint, now)
}

/// Records that a run broke off in a phase of its answer.
pub(super) fn record_broken_run(
    state: &NodeState,
    relay: &RelayRequest,
    engines: &[&str],
    phase: RunPhase,
) {
    let now = state.clock.now();
    let fingerprint = relay.fingerprint();
    spdlog::info!("request: run broke off", kv: {
        request = relay.caller.id.as_str(),
        engines = engines.join("+"),
        fingerprint = fingerprint.as_str(),
        parts = relay.caller.shared_parts.join(","),
        phase = phase.as_str(),
    });
    let crashes = {
        let mut view = state.view.borrow_mut();
        let engines = engines.iter().map(|id| view.engines.incarnation(id));
        let engines: Vec<String> = engines.collect();
        view.crashes
            .record_broken_run(&fingerprint, &relay.shared_parts, &engines, phase, now)
    };
    report_crashes(state, &crashes, "its engine was lost before");
    publish_part_changes(state);
}

/// Returns whether an engine was lost while a run of an equal request was on it.
pub(super) fn has_engine_loss(state: &NodeState, relay: &RelayRequest) -> bool {
    let fingerprint = relay.fingerprint();
    state.view.borrow().crashes.has_loss(&fingerprint)
}

/// Records that the engines of a chain answer a request that was sent to them at `sent_at`, which withdraws the
/// crashes of those that counted as lost.
pub(super) fn record_answer_begun(state: &NodeState, engines: &[ChainStage], sent_at: MilliTime) {
    let now = state.clock.now();
    {
        let mut view = state.view.borrow_mut();
        let view = &mut *view;
        let entries = engines
            .iter()
            .filter_map(|stage| view.engines.get(&stage.id));
        // Without the time of its start, an engine can't be told from its previous incarnation.
        for entry in entries.filter(|entry| entry.record.started_ms > 0) {
            let incarnation = entry.record.incarnation();
            view.crashes
                .record_engine_answer(&incarnation, sent_at, now);
        }
    }
    publish_part_changes(state);
}

/// Records that the answer of a run has outlasted its start or is whole, which clears the shared parts of the
/// request's prompt.
pub(super) fn record_parts_served(state: &NodeState, relay: &RelayRequest) {
    let now = state.clock.now();
    {
        let mut view = state.view.borrow_mut();
        let parts = view.crashes.parts_mut();
        parts.record_served(&relay.shared_parts, now);
    }
    publish_part_changes(state);
}

/// Records that a request was served.
///
/// This clears the crashes of all requests with its fingerprint, at the other processes as well.
pub(super) fn record_served(state: &NodeState, relay: &RelayRequest) {
    if state.view.borrow().crashes.is_empty() {
        return;
    }
    let fingerprint = relay.fingerprint();
    let now = state.clock.now();
    let was_suspected = state
        .view
        .borrow_mut()
        .crashes
        .clear_request(&fingerprint, now);
    if was_suspected {
        spdlog::info!("request: served, no longer suspected of crashing engines", kv: {
            request = relay.caller.id.as_str(),
            fingerprint = fingerprint.as_str(),
        });
        state.cleared_fingerprints.borrow_mut().push(fingerprint);
        state.crashes_changed.notify_one();
    }
}
