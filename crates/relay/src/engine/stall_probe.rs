use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::LifeSign;
use dandelionroad_core::relay::SuspicionCause;
use dandelionroad_core::time::MilliTime;
use tokio::task::spawn_local;

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

/// The maximum number of silent engines that are probed at once for a request that waits for them.
const MAX_SILENT_PROBES: usize = 8;

/// Requests the report of the first engine of a stalled chain, and marks the engines on which that engine
/// is waiting as suspected.
///
/// If the engine returns no report, it is suspected itself. A stall alone is not sufficient evidence:
/// a burst of long prompts stalls live engines as well, and avoiding these would move the burst to other
/// engines. A report of an engine that was suspected for the lack of one ends the suspicion.
pub async fn probe_stall(state: Rc<NodeState>, id: String, address: SocketAddr, request: String) {
    let asked_at = state.clock.now();
    let may_probe = {
        let mut view = state.view.borrow_mut();
        let entry = view.engines.get(&id);
        // An engine that has asked for a pause wants no probes either.
        let is_paused = entry.is_some_and(|entry| entry.paused_until > asked_at);
        !is_paused
            && view
                .engines
                .try_start_probe(&id, MIN_PROBE_INTERVAL_MS, asked_at)
    };
    if !may_probe {
        return;
    }
    let report = fetch_report(&state, &id, address, REPORT_TIMEOUT_MS).await;
    let (suspects, cause, text) = match report {
        Ok(report) => {
            record_life_sign(&state, &id, LifeSign::Report, &request);
            let view = state.view.borrow();
            let entry_at = |address: &String| view.engines.at_address(address);
            let stalled = report.stalled_on.iter().filter_map(entry_at);
            let ids: Vec<String> = stalled.map(|entry| entry.record.id.clone()).collect();
            let text = "reported as stalled".to_owned();
            (ids, SuspicionCause::Reported, text)
        }
        Err(error) => (vec![id.clone()], SuspicionCause::NoReport, error),
    };
    for suspect in suspects {
        if !record_suspicion(&state, &suspect, cause, asked_at) {
            continue;
        }
        spdlog::info!("engines: avoided: {text}", kv: {
            engine = suspect.as_str(),
            asked = id.as_str(),
            request = request.as_str(),
        });
        if cause == SuspicionCause::Reported {
            spawn_probe(&state, suspect, &request);
        }
    }
}

/// Probes the silent engines of a service until the future is dropped, so that requests that wait for them are sent
/// as soon as one answers again.
pub async fn probe_silent_engines(state: Rc<NodeState>, service: String, request: String) {
    loop {
        let now = state.clock.now();
        let silent: Vec<String> = {
            let view = state.view.borrow();
            let entries = view.engines.entries().iter();
            let mut silent: Vec<_> = entries
                .filter(|entry| entry.record.service == service && entry.marks.is_suspected(now))
                .collect();
            silent.sort_by_key(|entry| entry.last_probe);
            let ids = silent.iter().map(|entry| entry.record.id.clone());
            ids.take(MAX_SILENT_PROBES).collect()
        };
        for id in silent {
            spawn_probe(&state, id, &request);
        }
        tokio::time::sleep(Duration::from_millis(MIN_PROBE_INTERVAL_MS)).await;
    }
}

/// Starts a task that probes an engine. One that others report as stalled is told from one that is silent itself.
fn spawn_probe(state: &Rc<NodeState>, id: String, request: &str) {
    let address = {
        let view = state.view.borrow();
        view.engines.get(&id).map(|entry| entry.record.address)
    };
    if let Some(address) = address {
        let probe = probe_stall(Rc::clone(state), id, address, request.to_owned());
        let probe: Pin<Box<dyn Future<Output = ()>>> = Box::pin(probe);
        spawn_local(probe);
    }
}

/// Records a sign of life of an engine. Requests that wait are sent to it if it was avoided for its silence.
pub fn record_life_sign(state: &NodeState, id: &str, sign: LifeSign, request: &str) {
    let now = state.clock.now();
    if state.view.borrow_mut().engines.record_sign(id, sign, now) {
        spdlog::info!("engines: not avoided any more: answers again", kv: {
            engine = id,
            request = request,
        });
        state.capacity_freed.notify_waiters();
    }
}

/// Suspects an engine of being dead; returns whether this is new.
fn record_suspicion(
    state: &NodeState,
    id: &str,
    cause: SuspicionCause,
    asked_at: MilliTime,
) -> bool {
    let now = state.clock.now();
    let mut view = state.view.borrow_mut();
    let is_new = view.engines.suspect(id, cause, asked_at, now);
    if is_new {
        state.metrics.count_avoidance(match cause {
            SuspicionCause::NoReport => "no report",
            SuspicionCause::Reported => "reported",
        });
        state.engine_lost.notify_waiters();
    }
    is_new
}
