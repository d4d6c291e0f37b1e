use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::EngineRecord;
use dandelionroad_core::relay::ListingDelta;
use dandelionroad_core::relay::ListingPlan;
use dandelionroad_core::relay::ListingStatus;
use dandelionroad_core::relay::ListingStep;
use dandelionroad_core::relay::PeerListing;
use dandelionroad_core::relay::StoreVersion;
use dandelionroad_core::time::MilliTime;

use crate::crash_report::record_engine_loss;
use crate::node::NodeState;
use crate::peer::ListingAnswer;
use crate::peer::fetch_listing;
use crate::peer::is_store_reader;
use crate::telemetry::logged_age;
use crate::wire::StoreRow;
use crate::wire::StoreTable;

use super::StoreClient;
use super::ignored_rows::IgnoredRows;
use super::observe_version;
use super::retry_pause::retry_pause_ms;

/// The interval at which the age of the list is checked, in milliseconds.
const AGE_CHECK_INTERVAL_MS: u64 = 100;

/// The pause before a reported change is fetched, in milliseconds.
///
/// The zone's first process hears of the change at the same time and fetches it itself first.
const FETCH_DELAY_MS: u64 = 40;

/// The number of fetches of a reported change from the zone's first process before the process with the
/// freshest list is asked.
const MAX_ZONE_FETCHES: u32 = 3;

/// The time for which a process that did not renew the list is not asked again, in milliseconds.
///
/// Other processes or the store are asked meanwhile: the reports of a process that is gone stay recent for
/// seconds. A process that was only slow is asked again soon enough.
const FETCH_RETRY_MS: u64 = 300;

/// The maximum length of a logged reason for which a registration was ignored, in characters.
const MAX_LOGGED_CAUSE: usize = 200;

/// The task that keeps the list of engines up to date.
///
/// The store reader reads it at the interval of the settings. The other processes rely on its
/// confirmations, fetch changes from their zone's first process, and decide by [`ListingPlan`] what to do
/// when confirmations stop.
struct ListingTask {
    state: Rc<NodeState>,
    store: Rc<StoreClient>,
    /// The time at which a failed read of the store is tried again.
    store_retry: MilliTime,
    /// The processes that did not answer a fetch or did not renew the list, each with the time until which it is
    /// not asked again.
    unresponsive: Vec<(SocketAddr, MilliTime)>,
    /// The fetches of the reported change that did not bring it.
    zone_fetches: u32,
    /// The registrations that the last read of the store ignored.
    ignored: IgnoredRows,
}

/// Keeps the list of engines up to date until the process ends.
pub async fn run_listing(state: Rc<NodeState>, store: Rc<StoreClient>) {
    let mut task = ListingTask {
        state,
        store,
        store_retry: MilliTime::default(),
        unresponsive: Vec::new(),
        zone_fetches: 0,
        ignored: IgnoredRows::default(),
    };
    loop {
        release_held_back(&task.state);
        match task.next_step() {
            ListingStep::Wait(wait_ms) => {
                let pause = Duration::from_millis(wait_ms.min(AGE_CHECK_INTERVAL_MS));
                // The next step is decided anew after a report of a change as well as after the pause.
                let _ = tokio::time::timeout(pause, task.state.listing_changed.notified()).await;
            }
            ListingStep::FetchPeer => task.fetch_from_peer().await,
            ListingStep::ReadStore => task.read_store().await,
        }
    }
}

impl ListingTask {
    fn next_step(&self) -> ListingStep {
        let state = &self.state;
        let now = state.clock.now();
        let view = state.view.borrow();
        if !view.has_listing {
            return match self.store_retry.since(now) {
                0 => ListingStep::ReadStore,
                wait_ms => ListingStep::Wait(wait_ms),
            };
        }
        let peers = state.peers.borrow();
        let freshest = peers.freshest_listing(&self.excluded_processes(now), now);
        let status = ListingStatus {
            age_ms: now.since(view.listing_time),
            is_superseded: state.newest_listing_version.get() > view.listing.version(),
            rank: peers.zone_rank(now),
            peer_age_ms: freshest.map(|(_, age_ms)| age_ms),
            store_pause_ms: self.store_retry.since(now),
            is_reader: false,
        };
        drop(peers);
        drop(view);
        let status = ListingStatus {
            is_reader: is_store_reader(state),
            ..status
        };
        ListingPlan::new(state.bounds.get().list_interval_ms).next_step(&status)
    }

    /// Reads the whole list from the store; while the store doesn't answer, takes it from another process
    /// that has a fresher one.
    async fn read_store(&mut self) {
        let state = Rc::clone(&self.state);
        let store = Rc::clone(&self.store);
        let start = state.clock.now();
        let timestamps = state.peers.borrow().newest_timestamps();
        let had_failed = state.view.borrow().listing_gap(start).has_failure();
        let mut read = std::pin::pin!(store.read(StoreTable::Engines));
        let result = loop {
            tokio::select! {
                biased;
                result = read.as_mut() => break result,
                () = self.fetch_if_fresher() => {}
            }
        };
        let now = state.clock.now();
        match result {
            Ok((rows, version, _)) => {
                self.record_read(start, now);
                self.adopt_rows(&rows, version);
                let mut view = state.view.borrow_mut();
                view.listing_time = view.listing_time.max(start);
                drop(view);
                state.peers.borrow_mut().record_listing_read(&timestamps);
                state.confirm_due.notify_one();
                if !is_store_reader(&state) {
                    state.announcement_due.notify_one();
                }
            }
            Err(error) => {
                if !had_failed {
                    spdlog::warn!("store: can't read the list of engines, retrying: {error}", kv: {
                        listing_age_ms = logged_age(self.list_age_ms()),
                    });
                }
                self.store_retry = now.plus(retry_pause_ms(&state));
            }
        }
    }

    /// Records a read of the store that ended at `now`, from which follows what missing engines mean.
    fn record_read(&self, start: MilliTime, now: MilliTime) {
        let mut view = self.state.view.borrow_mut();
        let gap = view.listing_gap(now);
        view.engines.record_read(&gap, start, now);
        if gap.has_failure() {
            spdlog::info!("store: reachable again for the list of engines", kv: {
                listing_age_ms = logged_age(view.listing_age_ms(now)),
                grace_ms = view.engines.grace_left_ms(now),
            });
        }
    }

    /// Waits for the age check, and then fetches the list if another process has a fresher one.
    async fn fetch_if_fresher(&mut self) {
        tokio::time::sleep(Duration::from_millis(AGE_CHECK_INTERVAL_MS)).await;
        let has_listing = self.state.view.borrow().has_listing;
        if has_listing && self.next_step() == ListingStep::FetchPeer {
            self.fetch_from_peer().await;
        }
    }

    /// Fetches the changes of the list from the zone's first process, or from the process with the freshest
    /// list.
    async fn fetch_from_peer(&mut self) {
        let state = Rc::clone(&self.state);
        let version = state.view.borrow().listing.version();
        let is_superseded = state.newest_listing_version.get() > version;
        let now = state.clock.now();
        let zone_source = match is_superseded && self.zone_fetches < MAX_ZONE_FETCHES {
            true => state.peers.borrow().zone_source(now),
            false => None,
        };
        if zone_source.is_some() {
            tokio::time::sleep(Duration::from_millis(FETCH_DELAY_MS)).await;
        }
        let freshest = || {
            let peers = state.peers.borrow();
            peers
                .store_reader(now)
                .filter(|_| is_superseded)
                .or_else(|| {
                    let freshest = peers.freshest_listing(&self.excluded_processes(now), now);
                    freshest.map(|(address, _)| address)
                })
        };
        let Some(address) = zone_source.or_else(freshest) else {
            state.newest_listing_version.set(StoreVersion::UNREAD);
            return;
        };
        let start = state.clock.now();
        let version = state.view.borrow().listing.version();
        let answer = fetch_listing(&state, address, version).await;
        let now = state.clock.now();
        self.unresponsive.retain(|(_, until)| *until > now);
        let is_renewed = answer.is_some_and(|answer| adopt_answer(&state, answer, start));
        if !is_renewed {
            self.unresponsive.push((address, now.plus(FETCH_RETRY_MS)));
        }
        let version = state.view.borrow().listing.version();
        if state.newest_listing_version.get() <= version {
            self.zone_fetches = 0;
        } else if self.zone_fetches <= MAX_ZONE_FETCHES {
            self.zone_fetches += 1;
        } else {
            // Nobody who answers has the change; the next confirmation reports it again.
            self.zone_fetches = 0;
            state.newest_listing_version.set(StoreVersion::UNREAD);
        }
    }

    fn adopt_rows(&mut self, rows: &[StoreRow], version: StoreVersion) {
        let state = Rc::clone(&self.state);
        let records = self.decode_records(rows);
        let delta = {
            let mut view = state.view.borrow_mut();
            view.has_listing = true;
            view.listing.record_read(records, version)
        };
        if let Some(delta) = delta {
            update_engines(&state, &delta);
        }
    }

    /// Decodes the registrations of engines, ignoring malformed rows.
    fn decode_records(&mut self, rows: &[StoreRow]) -> Vec<EngineRecord> {
        let mut records = Vec::with_capacity(rows.len());
        let mut ignored = Vec::new();
        for row in rows {
            match self.state.format.decode_engine(row) {
                Ok(record) => records.push(record),
                // The error may quote a text of any length.
                Err(error) => {
                    let cause = error.to_string();
                    let cause = cause.chars().take(MAX_LOGGED_CAUSE).collect();
                    ignored.push((row.key.clone(), cause));
                }
            }
        }
        self.state.metrics.set_ignored_rows(ignored.len());
        for (key, error) in self.ignored.replace(ignored) {
            spdlog::warn!("engines: registration ignored: {error}", kv: {
                engine = key.as_str(),
            });
        }
        records
    }

    fn excluded_processes(&self, now: MilliTime) -> Vec<SocketAddr> {
        let excluded = self.unresponsive.iter().filter(|(_, until)| *until > now);
        excluded.map(|(address, _)| *address).collect()
    }

    fn list_age_ms(&self) -> Option<u64> {
        let now = self.state.clock.now();
        self.state.view.borrow().listing_age_ms(now)
    }
}

/// Adopts the list of another process, its age and its grace period, for a request that was sent at `start`;
/// returns whether the held list was renewed.
///
/// Age and grace period are those at the time of the answer and count from `start`, however long the answer
/// took: the list was the newest `age_ms` before `start` or later, and the grace period is not prolonged by
/// being passed on. A list that differs from the answer's, since it is newer, is not renewed by it.
fn adopt_answer(state: &NodeState, answer: ListingAnswer, start: MilliTime) -> bool {
    let digest = answer.delta.digest;
    observe_version(state, answer.delta.version);
    let mut view = state.view.borrow_mut();
    let delta = match view.listing.apply(answer.delta) {
        Ok(delta) => delta,
        Err(error) => {
            spdlog::warn!("engines: can't apply the changes from another process: {error}");
            return false;
        }
    };
    let is_renewed = view.listing.digest() == digest;
    if is_renewed {
        let confirmed = MilliTime::from_millis(start.as_millis().saturating_sub(answer.age_ms));
        let peer = PeerListing {
            confirmed,
            is_whole: answer.is_whole,
            grace_ms: answer.grace_ms,
        };
        let gap = view.listing_gap(state.clock.now());
        view.engines.record_peer(&gap, &peer, start);
        view.listing_time = view.listing_time.max(confirmed);
    }
    drop(view);
    if let Some(delta) = delta {
        update_engines(state, &delta);
    }
    is_renewed
}

/// Uses the engines that were removed before the store came back from an older copy and are still listed.
fn release_held_back(state: &NodeState) {
    let now = state.clock.now();
    let delta = {
        let mut view = state.view.borrow_mut();
        let version = view.listing.version();
        view.engines.release_held_back(version, now)
    };
    if let Some(delta) = delta {
        update_engines(state, &delta);
    }
}

/// Applies the changes of the list, logs them and records the loss of removed or restarted engines.
fn update_engines(state: &NodeState, delta: &ListingDelta) {
    if delta.changed.is_empty() && delta.removed.is_empty() {
        return;
    }
    let now = state.clock.now();
    let mut view = state.view.borrow_mut();
    let change = view.engines.update(delta, now);
    state.confirm_due.notify_one();
    for id in change.added {
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
    for id in change.removed {
        spdlog::info!("engines: gone from the list", kv: { engine = id.as_str() });
    }
    for id in change.draining {
        spdlog::info!("engines: draining", kv: { engine = id.as_str() });
    }
    drop(view);
    for incarnation in change.lost {
        record_engine_loss(state, &incarnation, "listed no more, or started again");
    }
}
