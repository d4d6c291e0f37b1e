use std::rc::Rc;

use dandelionroad_core::chain::ChainStage;

use crate::node::NodeState;

use super::fetch_report;

/// The time-out for the report of an engine that may be dead, in milliseconds.
///
/// A live engine responds within a few milliseconds, also under load.
const REPORT_TIMEOUT_MS: u64 = 250;

/// The minimum interval between two probes of the same engine, in milliseconds.
///
/// A report is some hundred milliseconds old, so the first one may not show a loss yet.
const MIN_PROBE_INTERVAL_MS: u64 = 150;

/// Requests the report of the first engine of a stalled chain, and marks the engines on which that engine
/// is waiting as suspected.
///
/// If the first engine returns no report, it is suspected itself. A stall alone is not sufficient evidence:
/// a burst of long prompts stalls live engines as well, and avoiding these would move the burst to other
/// engines.
pub async fn probe_stall(state: Rc<NodeState>, stages: Vec<ChainStage>, request: String) {
    let Some(first) = stages.first() else { return };
    let now = state.clock.now();
    let may_probe = {
        let mut view = state.view.borrow_mut();
        let entry = view.engines.get(&first.id);
        // An engine that has asked for a pause wants no probes either.
        let is_paused = entry.is_some_and(|entry| entry.paused_until > now);
        !is_paused
            && view
                .engines
                .try_start_probe(&first.id, MIN_PROBE_INTERVAL_MS, now)
    };
    if !may_probe {
        return;
    }
    let report = fetch_report(&state, &first.id, first.address, REPORT_TIMEOUT_MS).await;
    let now = state.clock.now();
    let mut view = state.view.borrow_mut();
    let (suspects, cause, label) = match report {
        Ok(report) => {
            let entry_at = |address: &String| view.engines.at_address(address);
            let stalled = report.stalled_on.iter().filter_map(entry_at);
            let ids: Vec<String> = stalled.map(|entry| entry.record.id.clone()).collect();
            (ids, "reported as stalled".to_owned(), "reported")
        }
        Err(error) => (vec![first.id.clone()], error, "no-report"),
    };
    for id in suspects {
        if view.engines.suspect(&id, now) {
            state.metrics.count_avoidance(label);
            spdlog::info!("engines: avoided: {cause}", kv: {
                engine = id.as_str(),
                asked = first.id.as_str(),
                request = request.as_str(),
            });
            state.engine_lost.notify_waiters();
        }
    }
}
