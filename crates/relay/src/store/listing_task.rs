use std::rc::Rc;
use std::time::Duration;

use crate::node::NodeState;
use crate::peer::fetch_rows;
use crate::peer::reads_for_others;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::StoreClient;

/// How long the store must have been away before listings after it count as incomplete, in
/// milliseconds.
///
/// Entries lapse after three missed heartbeats; shorter outages lose none.
const OUTAGE_MS: u64 = 1_500;

/// The age of the list up to which a process relies on the confirmations of another one, as a factor
/// of the interval between two reads.
const CONFIRMED_FACTOR: u64 = 2;

/// The time between two looks at the age of the list, in milliseconds.
const CHECK_PAUSE_MS: u64 = 150;

/// Reads the list of engines at an interval until the process ends.
pub async fn run_listing(state: Rc<NodeState>, store: Rc<StoreClient>) {
    let mut last_read = state.clock.now();
    let mut is_reached = true;
    loop {
        let start = state.clock.now();
        let stamps = state.peers.borrow().stamps();
        match store.read(StoreTable::Engines).await {
            Ok((rows, _, _)) => {
                let now = state.clock.now();
                if !is_reached && now.since(last_read) > OUTAGE_MS {
                    state.view.borrow_mut().engines.store_returned(now);
                }
                if !is_reached {
                    spdlog::info!("store: regained for the list of engines");
                }
                is_reached = true;
                last_read = now;
                take_listing(&state, &rows);
                state.view.borrow_mut().listing_time = start;
                state.peers.borrow_mut().listing_read(&stamps);
            }
            Err(error) => {
                if is_reached {
                    spdlog::warn!("store: lost for the list of engines: {error}");
                }
                is_reached = false;
                if state.is_listing_behind.take()
                    && let Some(rows) = fetch_rows(&state, StoreTable::Engines).await
                {
                    take_listing(&state, &rows);
                }
            }
        }
        pause(&state).await;
    }
}

/// Waits until the list has to be read again: at the interval, when another process no longer
/// confirms it, or when it has changed.
async fn pause(state: &NodeState) {
    let interval_ms = state.settings.list_interval_ms;
    if reads_for_others(state) {
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        return;
    }
    loop {
        let pause = Duration::from_millis(CHECK_PAUSE_MS);
        let changed = tokio::time::timeout(pause, state.listing_changed.notified()).await;
        let age_ms = state.clock.now().since(state.view.borrow().listing_time);
        if changed.is_ok() || age_ms >= interval_ms * CONFIRMED_FACTOR {
            return;
        }
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
    let digest = view.engines.digest();
    let (added, removed) = view.engines.replace(records, now);
    if view.engines.digest() != digest {
        state.confirm.notify_one();
    }
    view.has_listing = true;
    state.copies.borrow_mut().engines = rows.to_vec();
    for id in added {
        let Some(entry) = view.engines.get(&id) else {
            continue;
        };
        spdlog::info!("engines: listed", kv: {
            engine = id.as_str(),
            zone = entry.record.zone.as_str(),
            kind = entry.record.kind.as_deref().unwrap_or("none"),
            first = entry.record.layers.first,
            end = entry.record.layers.end,
        });
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
