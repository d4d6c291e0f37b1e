use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::EngineTable;

use crate::crash_report::note_lost_engine;
use crate::node::NodeState;
use crate::peer::adopt_zone_rows;
use crate::peer::fetch_rows;
use crate::peer::reads_for_others;
use crate::telemetry::logged_age;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::StoreClient;
use super::retry_pause::pause_after_failure;

/// The age of the list up to which a process relies on the confirmations of another one, as a factor
/// of the interval between two reads.
const CONFIRMED_FACTOR: u64 = 2;

/// The time between two looks at the age of the list, in milliseconds.
const CHECK_PAUSE_MS: u64 = 150;

/// Reads the list of engines at an interval until the process ends.
pub async fn run_listing(state: Rc<NodeState>, store: Rc<StoreClient>) {
    let mut is_reached = true;
    loop {
        let start = state.clock.now();
        let stamps = state.peers.borrow().stamps();
        match store.read(StoreTable::Engines).await {
            Ok((rows, _, _)) => {
                let now = state.clock.now();
                if !is_reached {
                    let mut view = state.view.borrow_mut();
                    let held_ms = view.has_listing.then(|| now.since(view.listing_time));
                    if let Some(held_ms) = held_ms {
                        view.engines.store_returned(held_ms, now);
                    }
                    spdlog::info!("store: regained for the list of engines", kv: {
                        listing_age_ms = logged_age(held_ms),
                    });
                }
                is_reached = true;
                take_listing(&state, &rows);
                state.view.borrow_mut().listing_time = start;
                state.peers.borrow_mut().record_listing_read(&stamps);
            }
            Err(error) => {
                if is_reached {
                    spdlog::warn!("store: lost for the list of engines: {error}");
                }
                is_reached = false;
                if state.is_listing_stale.take()
                    && let Some(rows) = fetch_rows(&state, StoreTable::Engines).await
                {
                    take_listing(&state, &rows);
                }
                pause_after_failure(&state, &state.listing_changed).await;
            }
        }
        while pause(&state).await == ListingPause::Changed && take_copy(&state).await {}
    }
}

/// Why the list has to be read again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ListingPause {
    /// Its time has come, or no other process confirms it any more.
    Due,
    /// Another process tells of another list.
    Changed,
}

/// Takes the changed list from the process that reads the store for the availability zone; only
/// confirmations make it fresh.
async fn take_copy(state: &NodeState) -> bool {
    if !state.is_listing_stale.get() {
        return false;
    }
    let take = |rows: &[StoreRow]| {
        let records = decode_records(state, rows);
        let is_newest = EngineTable::digest_of(&records) == state.newest_listing_digest.get();
        if is_newest {
            take_records(state, rows, records);
        }
        is_newest
    };
    adopt_zone_rows(state, StoreTable::Engines, take).await
}

/// Waits until the list has to be read again: at the interval, when another process no longer
/// confirms it, or when it has changed.
async fn pause(state: &NodeState) -> ListingPause {
    let interval_ms = state.bounds.get().list_interval_ms;
    if reads_for_others(state) {
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        return ListingPause::Due;
    }
    loop {
        let pause = Duration::from_millis(CHECK_PAUSE_MS);
        let changed = tokio::time::timeout(pause, state.listing_changed.notified()).await;
        let age_ms = state.clock.now().since(state.view.borrow().listing_time);
        if age_ms >= interval_ms * CONFIRMED_FACTOR {
            return ListingPause::Due;
        }
        if changed.is_ok() {
            return ListingPause::Changed;
        }
    }
}

fn decode_records(state: &NodeState, rows: &[StoreRow]) -> Vec<EngineRecord> {
    let mut records = Vec::new();
    for row in rows {
        match state.format.decode_engine(row) {
            Ok(record) => records.push(record),
            Err(fault) => {
                spdlog::debug!("engines: left out: {fault}", kv: { engine = row.key.as_str() })
            }
        }
    }
    records
}

fn take_listing(state: &NodeState, rows: &[StoreRow]) {
    take_records(state, rows, decode_records(state, rows));
}

fn take_records(state: &NodeState, rows: &[StoreRow], records: Vec<EngineRecord>) {
    let now = state.clock.now();
    let mut view = state.view.borrow_mut();
    let before: Vec<EngineRecord> = view
        .engines
        .entries()
        .iter()
        .map(|entry| entry.record.clone())
        .collect();
    let digest = view.engines.digest();
    let (added, removed) = view.engines.replace(records, now);
    if view.engines.digest() != digest {
        state.confirm_due.notify_one();
    }
    view.has_listing = true;
    state.row_snapshot.borrow_mut().engines = rows.to_vec();
    // Started again under the same identifier, or listed no more.
    let is_lost =
        |record: &&EngineRecord| added.contains(&record.id) || removed.contains(&record.id);
    let lost = before.iter().filter(is_lost);
    let lost: Vec<String> = lost.map(EngineRecord::incarnation).collect();
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
    for record in before.iter().filter(|record| !record.is_draining) {
        let entry = view.engines.get(&record.id);
        if entry.is_some_and(|entry| entry.record.is_draining) {
            spdlog::info!("engines: draining", kv: { engine = record.id.as_str() });
        }
    }
    drop(view);
    for incarnation in lost {
        note_lost_engine(state, &incarnation, "listed no more, or started again");
    }
}
