use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::EngineTable;

use crate::crash_report::record_engine_loss;
use crate::node::NodeState;
use crate::peer::adopt_zone_rows;
use crate::peer::fetch_rows;
use crate::peer::is_store_reader;
use crate::telemetry::logged_age;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::StoreClient;
use super::retry_pause::pause_after_failure;

/// The age of the list up to which a process relies on the store reader's confirmations, as a multiple
/// of the read interval.
const MAX_CONFIRMED_INTERVALS: u64 = 2;

/// The interval at which the age of the list is checked, in milliseconds.
const AGE_CHECK_INTERVAL_MS: u64 = 150;

/// Keeps the list of engines up to date until the process ends.
///
/// The store reader reads it at the interval of the settings. The other processes rely on its
/// confirmations and read a change from their zone's reader; they read the store when confirmations stop
/// arriving.
pub async fn run_listing(state: Rc<NodeState>, store: Rc<StoreClient>) {
    let mut is_reachable = true;
    loop {
        let start = state.clock.now();
        let timestamps = state.peers.borrow().newest_timestamps();
        match store.read(StoreTable::Engines).await {
            Ok((rows, _, _)) => {
                let now = state.clock.now();
                if !is_reachable {
                    let mut view = state.view.borrow_mut();
                    let age_ms = view.has_listing.then(|| now.since(view.listing_time));
                    if let Some(age_ms) = age_ms {
                        view.engines.end_outage(age_ms, now);
                    }
                    spdlog::info!("store: reachable again for the list of engines", kv: {
                        listing_age_ms = logged_age(age_ms),
                    });
                }
                is_reachable = true;
                adopt_rows(&state, &rows);
                state.view.borrow_mut().listing_time = start;
                state.peers.borrow_mut().record_listing_read(&timestamps);
            }
            Err(error) => {
                if is_reachable {
                    spdlog::warn!("store: can't read the list of engines, retrying: {error}");
                }
                is_reachable = false;
                if state.is_listing_stale.take()
                    && let Some(rows) = fetch_rows(&state, StoreTable::Engines).await
                {
                    adopt_rows(&state, &rows);
                }
                pause_after_failure(&state, &state.listing_changed).await;
            }
        }
        while wait_for_read(&state).await == ReadCause::Changed
            && adopt_listing_from_zone_reader(&state).await
        {}
    }
}

/// The reason to read the list again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadCause {
    /// The interval has passed, or the last confirmation is too old.
    Due,
    /// The store reader has confirmed a list that differs from the one that this process holds.
    Changed,
}

/// Adopts the changed list of engines from the zone's reader; returns false if the store must be read.
///
/// This does not renew the list's freshness: only confirmations by the store reader and this process's own
/// reads of the store renew it.
async fn adopt_listing_from_zone_reader(state: &NodeState) -> bool {
    if !state.is_listing_stale.get() {
        return false;
    }
    let adopt = |rows: &[StoreRow]| {
        let records = decode_records(state, rows);
        let is_newest = EngineTable::digest_of(&records) == state.newest_listing_digest.get();
        if is_newest {
            adopt_records(state, rows, records);
        }
        is_newest
    };
    adopt_zone_rows(state, StoreTable::Engines, adopt).await
}

/// Waits until the list must be read again, and returns the reason.
async fn wait_for_read(state: &NodeState) -> ReadCause {
    let interval_ms = state.bounds.get().list_interval_ms;
    if is_store_reader(state) {
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        return ReadCause::Due;
    }
    loop {
        let pause = Duration::from_millis(AGE_CHECK_INTERVAL_MS);
        let changed = tokio::time::timeout(pause, state.listing_changed.notified()).await;
        let age_ms = state.clock.now().since(state.view.borrow().listing_time);
        if age_ms >= interval_ms * MAX_CONFIRMED_INTERVALS {
            return ReadCause::Due;
        }
        if changed.is_ok() {
            return ReadCause::Changed;
        }
    }
}

/// Decodes the registrations of engines, ignoring malformed rows.
fn decode_records(state: &NodeState, rows: &[StoreRow]) -> Vec<EngineRecord> {
    let mut records = Vec::new();
    for row in rows {
        match state.format.decode_engine(row) {
            Ok(record) => records.push(record),
            Err(error) => {
                spdlog::debug!("engines: registration ignored: {error}", kv: {
                    engine = row.key.as_str(),
                })
            }
        }
    }
    records
}

fn adopt_rows(state: &NodeState, rows: &[StoreRow]) {
    adopt_records(state, rows, decode_records(state, rows));
}

/// Replaces the list of engines, logs the changes and records the loss of removed or restarted engines.
fn adopt_records(state: &NodeState, rows: &[StoreRow], records: Vec<EngineRecord>) {
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
    // Restarted under the same identifier, or no longer listed.
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
        spdlog::info!("engines: gone from the list", kv: { engine = id.as_str() });
    }
    for record in before.iter().filter(|record| !record.is_draining) {
        let entry = view.engines.get(&record.id);
        if entry.is_some_and(|entry| entry.record.is_draining) {
            spdlog::info!("engines: draining", kv: { engine = record.id.as_str() });
        }
    }
    drop(view);
    for incarnation in lost {
        record_engine_loss(state, &incarnation, "listed no more, or started again");
    }
}
