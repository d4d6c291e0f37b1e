use std::rc::Rc;
use std::time::Duration;

use crate::node::NodeState;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::StoreClient;

/// How long the store must have been away before listings after it count as incomplete, in
/// milliseconds.
///
/// Entries lapse after three missed heartbeats; shorter outages lose none.
const OUTAGE_MS: u64 = 1_500;

/// Reads the list of engines at an interval until the process ends.
pub async fn run_listing(state: Rc<NodeState>, store: Rc<StoreClient>) {
    let mut last_read = state.clock.now();
    let mut is_reached = true;
    loop {
        match store.read(StoreTable::Engines).await {
            Ok((rows, _, _)) => {
                let now = state.clock.now();
                if now.since(last_read) > OUTAGE_MS + state.settings.list_interval_ms {
                    state.view.borrow_mut().engines.store_returned(now);
                }
                if !is_reached {
                    spdlog::info!("store: regained for the list of engines");
                }
                is_reached = true;
                last_read = now;
                take_listing(&state, &rows);
            }
            Err(error) => {
                if is_reached {
                    spdlog::warn!("store: lost for the list of engines: {error}");
                }
                is_reached = false;
            }
        }
        tokio::time::sleep(Duration::from_millis(state.settings.list_interval_ms)).await;
    }
}

fn take_listing(state: &NodeState, rows: &[StoreRow]) {
    let mut records = Vec::new();
    for row in rows {
        match state.format.decode_engine(row) {
            Ok(record) => records.push(record),
            Err(fault) => {
                spdlog::debug!("engines: left out: {fault}", kv: { engine = row.key.as_str() })
            }
        }
    }
    let now = state.clock.now();
    let mut view = state.view.borrow_mut();
    let before: Vec<(String, bool)> = view
        .engines
        .entries()
        .iter()
        .map(|entry| (entry.record.id.clone(), entry.record.is_draining))
        .collect();
    let (added, removed) = view.engines.replace(records, now);
    view.has_listing = true;
    for id in added {
        spdlog::info!("engines: listed", kv: { engine = id.as_str() });
    }
    for id in removed {
        spdlog::info!("engines: gone", kv: { engine = id.as_str() });
    }
    for (id, was_draining) in before {
        let is_draining = view
            .engines
            .get(&id)
            .is_some_and(|entry| entry.record.is_draining);
        if is_draining && !was_draining {
            spdlog::info!("engines: draining", kv: { engine = id.as_str() });
        }
    }
}
