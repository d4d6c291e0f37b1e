use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::ConfigSource;
use dandelionroad_core::time::MilliTime;

use crate::node::NodeState;
use crate::peer::adopt_zone_config;
use crate::peer::fetch_config;
use crate::peer::is_store_reader;
use crate::telemetry::logged_age;
use crate::wire::StoreCall;
use crate::wire::StoreReply;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::StoreClient;
use super::retry_pause::pause_after_failure;
use super::settled_era::SettledEra;
use super::store_client::LONG_POLL_MS;

/// The age of the configuration up to which a process relies on the store reader's confirmations, in
/// milliseconds.
///
/// The 900 ms beyond the reader's long poll allow for the age of the confirmed timestamp and for three
/// confirmation intervals, so two confirmations may be lost.
const MAX_CONFIRMED_AGE_MS: u64 = LONG_POLL_MS + 900;

/// The interval at which a process that is not the store reader polls for the first configuration, in
/// milliseconds.
///
/// Operators write it some seconds after the processes have started, and the store reader reports it.
const FIRST_CONFIG_POLL_MS: u64 = 2_000;

/// The interval at which the age of the configuration is checked, in milliseconds.
const AGE_CHECK_INTERVAL_MS: u64 = 150;

/// Keeps the operator's configuration up to date until the process ends.
///
/// While the configuration is confirmed by the store reader, this process reads a change from its zone's
/// reader. Otherwise it long-polls the store. While the store can't be reached, it fetches the rows from
/// the store reader, if there is one.
pub async fn run_config(state: Rc<NodeState>, store: Rc<StoreClient>) {
    let mut source: Option<ConfigSource> = None;
    let mut was_settling = false;
    let mut next_poll = MilliTime::default();
    let mut settled_era = SettledEra::default();
    loop {
        let is_awaited = next_poll > state.clock.now() && awaits_first_config(&state);
        if is_awaited || is_confirmed(&state) {
            let pause = Duration::from_millis(AGE_CHECK_INTERVAL_MS);
            let changed = tokio::time::timeout(pause, state.config_changed.notified()).await;
            if changed.is_err() {
                continue;
            }
            // The version of the last read from the store is outdated.
            source = None;
            if adopt_config_from_zone_reader(&state).await {
                continue;
            }
        }
        let start = state.clock.now();
        let is_settling = state.view.borrow().era.is_settling(start);
        if std::mem::replace(&mut was_settling, is_settling) && !is_settling {
            // A whole read renews the freshness at once, a long poll only at its end.
            source = None;
        }
        next_poll = start.plus(FIRST_CONFIG_POLL_MS);
        let timestamps = state.peers.borrow().newest_timestamps();
        let had_failed = has_failed(&state, start);
        let result = match source {
            None => read_config(&state, &store, &mut settled_era, start).await,
            Some(known) => {
                tokio::select! {
                    biased;
                    result = poll_config(&state, &store, known, start) => result,
                    // Another process knows a newer configuration, which a restored store doesn't hold.
                    () = state.config_changed.notified() => {
                        source = None;
                        adopt_config_from_zone_reader(&state).await;
                        continue;
                    }
                }
            }
        };
        match result {
            Ok((next, is_confirmed)) => {
                // Without a configuration to confirm, each poll would log this.
                if had_failed && !has_failed(&state, state.clock.now()) {
                    spdlog::info!("store: reachable again for the configuration");
                }
                source = next;
                if is_confirmed {
                    state.peers.borrow_mut().record_config_read(&timestamps);
                    if let Some(known) = source {
                        settled_era.note(&state, &store, known.version()).await;
                    }
                }
            }
            Err(error) => {
                // Keys may be refused already, so the next call must not be a long poll.
                source = None;
                if !had_failed {
                    let age = state.view.borrow().config_age.age_ms(state.clock.now());
                    spdlog::warn!("store: can't read the configuration, retrying: {error}", kv: {
                        config_age_ms = logged_age(age),
                    });
                }
                adopt_config_from_store_reader(&state).await;
                pause_after_failure(&state, &state.config_changed).await;
            }
        }
    }
}

/// Returns whether there is no configuration yet and another process polls the store for it.
fn awaits_first_config(state: &NodeState) -> bool {
    let has_config = state.view.borrow().config.is_some();
    let reader = state.peers.borrow().store_reader(state.clock.now());
    !has_config && reader.is_some() && !is_store_reader(state)
}

/// Returns whether another process is the store reader and has confirmed the configuration recently.
fn is_confirmed(state: &NodeState) -> bool {
    if is_store_reader(state) {
        return false;
    }
    let now = state.clock.now();
    let view = state.view.borrow();
    if view.config.is_some()
        && view.era.is_settling(now)
        && state.peers.borrow().store_reader(now).is_some()
    {
        // No read renews the freshness yet, so those of all processes would be in vain.
        return true;
    }
    let age = view.config_age.age_ms(now);
    age.is_some_and(|age| age < MAX_CONFIRMED_AGE_MS)
}

/// Reads the configuration from the store.
///
/// Returns what was read, and whether the read has shown that the held configuration is the newest.
async fn read_config(
    state: &NodeState,
    store: &StoreClient,
    settled_era: &mut SettledEra,
    start: MilliTime,
) -> Result<(Option<ConfigSource>, bool), String> {
    let (rows, version, _) = store.read(StoreTable::Config).await?;
    settled_era.learn(state, store).await;
    let found = adopt_read_rows(state, &rows)?;
    let source = ConfigSource::new(version, found);
    Ok((Some(source), confirm_source(state, &source, start)))
}

/// Long-polls the store for a change of the configuration since `source` was read.
///
/// Returns what was read, or `None` if the store no longer holds the changes or has come back from an older copy, and
/// whether the read has shown that the held configuration is the newest.
async fn poll_config(
    state: &NodeState,
    store: &StoreClient,
    mut source: ConfigSource,
    start: MilliTime,
) -> Result<(Option<ConfigSource>, bool), String> {
    // A poll that starts while rows may be missing renews nothing, so it ends with that time.
    let wait_ms = match state.view.borrow().era.settle_left_ms(start) {
        0 => LONG_POLL_MS,
        left_ms => left_ms.min(LONG_POLL_MS),
    };
    let call = StoreCall::Watch {
        table: StoreTable::Config,
        version: source.version().version(),
        wait_ms,
    };
    match store.call(&call).await? {
        StoreReply::Rows { rows, version, .. } => {
            let found = adopt_read_rows(state, &rows)?;
            if !source.advance(version, found) {
                return Ok((None, false));
            }
            Ok((Some(source), confirm_source(state, &source, start)))
        }
        StoreReply::HistoryLost => Ok((None, false)),
        other => Err(format!("unexpected reply of the store: {other:?}")),
    }
}

/// Adopts the changed configuration from the zone's reader; returns false if the store must be read.
async fn adopt_config_from_zone_reader(state: &NodeState) -> bool {
    let adopt = |rows: &[StoreRow]| {
        adopt_or_warn(state, rows);
        let view = state.view.borrow();
        let version = view.config.as_ref().map_or(0, |config| config.version);
        version >= state.newest_config_version.get()
    };
    adopt_zone_config(state, adopt).await
}

/// Adopts a newer configuration from the store reader.
///
/// This does not renew the configuration's freshness: only confirmations by the store reader and this
/// process's own reads of the store renew it.
async fn adopt_config_from_store_reader(state: &NodeState) {
    if let Some(rows) = fetch_config(state).await {
        adopt_or_warn(state, &rows);
    }
}

fn adopt_or_warn(state: &NodeState, rows: &[StoreRow]) {
    if let Err(error) = adopt_rows(state, rows) {
        spdlog::warn!("config: ignored the configuration fetched from another process: {error}");
    }
}

/// Renews the freshness of the held configuration if a read of the store that started at `start` has shown that it is the
/// newest; returns whether it has.
fn confirm_source(state: &NodeState, source: &ConfigSource, start: MilliTime) -> bool {
    let mut view = state.view.borrow_mut();
    let held = view.config.as_ref().map(|config| config.version);
    let is_newest = source.renews(held, start, &view.era);
    if is_newest {
        view.config_age.confirm(start);
        view.update_gate(state.clock.now());
    }
    // Without an era, a store without a configuration is confirmed as well.
    is_newest || held.is_none() && !source.version().names_era()
}

/// Returns whether a read has failed, or its rows could not be decoded, since the configuration was last confirmed.
fn has_failed(state: &NodeState, now: MilliTime) -> bool {
    let view = state.view.borrow();
    view.config_gap(now).has_failure() || view.store_contact.is_unreadable(now)
}

/// Adopts rows that this process has read from the store; see [`adopt_rows`].
///
/// A process that can't decode them leaves it to another one to read the store.
fn adopt_read_rows(state: &NodeState, rows: &[StoreRow]) -> Result<Option<u64>, String> {
    let found = adopt_rows(state, rows);
    if found.is_err() {
        let now = state.clock.now();
        state.view.borrow_mut().store_contact.record_unreadable(now);
    }
    found
}

/// Adopts the configuration of the rows if it is newer than the present one; returns its version, if there is one.
fn adopt_rows(state: &NodeState, rows: &[StoreRow]) -> Result<Option<u64>, String> {
    let decoded = state.format.decode_config(rows);
    let Some(config) = decoded.map_err(|error| error.to_string())? else {
        return Ok(None);
    };
    let version = config.version;
    let mut view = state.view.borrow_mut();
    let is_adopted = view.adopt(config);
    view.update_gate(state.clock.now());
    drop(view);
    if is_adopted {
        spdlog::info!("config: adopted", kv: { version = version });
        *state.config_rows.borrow_mut() = rows.to_vec();
        state.confirm_due.notify_one();
        state.metrics.set_config_version(version);
    }
    Ok(Some(version))
}
