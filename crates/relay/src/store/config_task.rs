use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::time::MilliTime;

use crate::node::NodeState;
use crate::peer::adopt_zone_rows;
use crate::peer::fetch_rows;
use crate::peer::reads_for_others;
use crate::telemetry::logged_age;
use crate::wire::StoreCall;
use crate::wire::StoreReply;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::StoreClient;
use super::retry_pause::pause_after_failure;
use super::store_client::WATCH_WAIT_MS;

/// The age up to which a process relies on the confirmations of another one, in milliseconds.
///
/// One wait of the other one for a change, the age of the stamps and three confirmations of which two may
/// be lost.
const CONFIRMED_MS: u64 = WATCH_WAIT_MS + 900;

/// The time between two looks at the age of the configuration, in milliseconds.
const CHECK_PAUSE_MS: u64 = 150;

/// Follows the operator's configuration until the process ends.
pub async fn run_config(state: Rc<NodeState>, store: Rc<StoreClient>) {
    let mut version: Option<u64> = None;
    let mut is_reached = true;
    loop {
        if is_confirmed(&state) {
            let pause = Duration::from_millis(CHECK_PAUSE_MS);
            let changed = tokio::time::timeout(pause, state.config_changed.notified()).await;
            if changed.is_err() {
                continue;
            }
            // The version up to which changes were seen is old by now.
            version = None;
            if take_copy(&state).await {
                continue;
            }
        }
        let start = state.clock.now();
        let stamps = state.peers.borrow().stamps();
        let result = match version {
            None => read_all(&state, &store, start).await,
            Some(known) => watch(&state, &store, known, start).await,
        };
        match result {
            Ok(next) => {
                if !is_reached {
                    spdlog::info!("store: regained for the configuration");
                }
                is_reached = true;
                state.view.borrow_mut().is_store_lost = false;
                version = next;
                // Without a version, the changes were not to be had and nothing is confirmed.
                if next.is_some() {
                    state.peers.borrow_mut().record_config_read(&stamps);
                }
            }
            Err(error) => {
                if is_reached {
                    let age = state.view.borrow().config_age.age_ms(state.clock.now());
                    spdlog::warn!("store: lost for the configuration: {error}", kv: {
                        config_age_ms = logged_age(age),
                    });
                }
                is_reached = false;
                // Another process reads the store for the others from now on.
                state.view.borrow_mut().is_store_lost = true;
                adopt_copy(&state).await;
                pause_after_failure(&state, &state.config_changed).await;
            }
        }
    }
}

/// Returns whether another process confirms the configuration often enough.
fn is_confirmed(state: &NodeState) -> bool {
    if reads_for_others(state) {
        return false;
    }
    let age = state.view.borrow().config_age.age_ms(state.clock.now());
    age.is_some_and(|age| age < CONFIRMED_MS)
}

async fn read_all(
    state: &NodeState,
    store: &StoreClient,
    start: MilliTime,
) -> Result<Option<u64>, String> {
    let (rows, version, _) = store.read(StoreTable::Config).await?;
    take_rows(state, &rows, start)?;
    Ok(Some(version))
}

async fn watch(
    state: &NodeState,
    store: &StoreClient,
    version: u64,
    start: MilliTime,
) -> Result<Option<u64>, String> {
    let call = StoreCall::Watch {
        table: StoreTable::Config,
        version,
        wait_ms: WATCH_WAIT_MS,
    };
    match store.call(&call).await? {
        StoreReply::Rows { rows, version, .. } => {
            take_rows(state, &rows, start)?;
            Ok(Some(version))
        }
        StoreReply::HistoryLost => Ok(None),
        other => Err(format!("unexpected answer: {other:?}")),
    }
}

/// Adopts the changed configuration from the process that reads the store for the availability zone.
async fn take_copy(state: &NodeState) -> bool {
    let take = |rows: &[StoreRow]| {
        adopt_copied(state, rows);
        let view = state.view.borrow();
        let held = view.config.as_ref().map_or(0, |config| config.version);
        held >= state.newest_config_version.get()
    };
    adopt_zone_rows(state, StoreTable::Config, take).await
}

/// Adopts a newer configuration from another process; only its confirmations make it fresh.
async fn adopt_copy(state: &NodeState) {
    if let Some(rows) = fetch_rows(state, StoreTable::Config).await {
        adopt_copied(state, &rows);
    }
}

fn adopt_copied(state: &NodeState, rows: &[StoreRow]) {
    if let Err(error) = adopt_rows(state, rows) {
        spdlog::warn!("config: copy left out: {error}");
    }
}

/// Adopts the newest configuration among the rows and confirms the age of the held one.
fn take_rows(state: &NodeState, rows: &[StoreRow], start: MilliTime) -> Result<(), String> {
    adopt_rows(state, rows)?;
    let mut view = state.view.borrow_mut();
    if view.config.is_some() {
        view.config_age.confirm(start);
    }
    Ok(())
}

fn adopt_rows(state: &NodeState, rows: &[StoreRow]) -> Result<(), String> {
    let decoded = state.format.decode_config(rows);
    let Some(config) = decoded.map_err(|fault| fault.to_string())? else {
        return Ok(());
    };
    let version = config.version;
    if state.view.borrow_mut().adopt(config) {
        spdlog::info!("config: adopted", kv: { version = version });
        state.row_snapshot.borrow_mut().config = rows.to_vec();
        state.confirm_due.notify_one();
        state.metrics.set_config_version(version);
    }
    Ok(())
}
