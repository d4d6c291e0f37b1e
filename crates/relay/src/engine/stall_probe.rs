use std::rc::Rc;

use dandelionroad_core::chain::ChainStage;

use crate::node::NodeState;

use super::fetch_report;

/// The longest wait for the report of an engine that may be dead, in milliseconds.
///
/// A live one answers within a few milliseconds, also under load.
const ANSWER_MS: u64 = 250;

/// The least time between two questions of the same engine, in milliseconds.
///
/// A report is some hundred milliseconds old, so that the first answer may not know of a loss yet.
const PROBE_INTERVAL_MS: u64 = 150;

/// Asks the first engine of a stalled chain what it waits for, and avoids the engines that are dead.
///
/// A stall alone says little: a burst of long prompts stalls live engines as well, and avoiding those
/// sends the burst to the next ones.
pub async fn probe_stall(state: Rc<NodeState>, parts: Vec<ChainStage>, request: String) {
    let Some(first) = parts.first() else { return };
    let now = state.clock.now();
    let may_probe =
        state
            .view
            .borrow_mut()
            .engines
            .try_start_probe(&first.id, PROBE_INTERVAL_MS, now);
    if !may_probe {
        return;
    }
    let report = fetch_report(&state, first.address, ANSWER_MS).await;
    let now = state.clock.now();
    let mut view = state.view.borrow_mut();
    let (dead, cause) = match report {
        Ok(report) => {
            let at = |address: &String| view.engines.at_address(address);
            let found = report.stalled_on.iter().filter_map(at);
            let ids: Vec<String> = found.map(|entry| entry.record.id.clone()).collect();
            (ids, "reported as stalled".to_owned())
        }
        Err(error) => (vec![first.id.clone()], error),
    };
    for id in dead {
        if view.engines.suspect(&id, now) {
            spdlog::info!("engines: avoided: {cause}", kv: {
                engine = id.as_str(),
                asked = first.id.as_str(),
                request = request.as_str(),
            });
            state.engine_lost.notify_waiters();
        }
    }
}
