use std::rc::Rc;
use std::time::Duration;

use dandelionroad_core::relay::CrashSnapshot;
use dandelionroad_core::relay::StoreVersion;
use dandelionroad_core::route::hash_text;
use dandelionroad_core::time::MilliTime;
use serde::Deserialize;
use serde::Serialize;

use crate::crash_report::publish_part_changes;
use crate::node::NodeState;
use crate::peer::is_store_reader;
use crate::wire::StoreReply;
use crate::wire::StoreTable;
use crate::wire::StoreWrite;

use super::StoreClient;
use super::retry_pause::retry_pause_ms;

/// The key of the row that holds the crashes.
const ROW_KEY: &str = "crashes";

/// The interval at which the store reader looks for changes to write, in milliseconds.
///
/// What the last interval brought is lost if all processes are killed.
const WRITE_INTERVAL_MS: u64 = 500;

/// The time between two checks of the store reader after which another process may have been the store reader and have
/// written the row, in milliseconds.
const MAX_CHECK_GAP_MS: u64 = 2 * WRITE_INTERVAL_MS;

/// The time after which the crashes of a request that still comes are written again, in milliseconds.
///
/// They count for a minute after the request came last, also for a process that reads them.
const REFRESH_MS: u64 = 15_000;

/// The row of the store that holds the known crashes.
#[derive(Debug, Deserialize, Serialize)]
struct CrashRow {
    /// The time on the store's clock at which the snapshot was taken, in milliseconds.
    store_ms: u64,
    snapshot: CrashSnapshot,
}

/// The task that keeps the known crashes in the store, as each process forgets them when it ends.
struct CrashTask {
    state: Rc<NodeState>,
    store: Rc<StoreClient>,
    /// The version of the row, 0 if there is none.
    row_version: u64,
    /// The era in which the row was read or written.
    era: StoreVersion,
    /// The digest of the crashes in the row.
    digest: u64,
    /// A time on the store's clock, and on the one of this process.
    store_time: (u64, MilliTime),
    /// The time at which this process last compared its crashes with the row, as the store reader.
    compared_at: Option<MilliTime>,
}

/// Reads the crashes that earlier processes knew, and then writes those that the processes know while this one is the
/// store reader.
pub async fn run_crash_record(state: Rc<NodeState>, store: Rc<StoreClient>) {
    let mut task = CrashTask {
        state,
        store,
        row_version: 0,
        era: StoreVersion::UNREAD,
        digest: digest_of(&CrashSnapshot::default(), MilliTime::default()),
        store_time: (0, MilliTime::default()),
        compared_at: None,
    };
    let mut is_reachable = true;
    loop {
        let result = task.read().await;
        // While the store is away, the process serves callers without what it holds.
        task.state.view.borrow_mut().is_crash_record_read = true;
        let Err(error) = result else { break };
        if std::mem::replace(&mut is_reachable, false) {
            spdlog::warn!("crashes: can't read those known before the start, retrying: {error}");
        }
        let pause_ms = retry_pause_ms(&task.state);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    loop {
        tokio::time::sleep(Duration::from_millis(WRITE_INTERVAL_MS)).await;
        if let Err(error) = task.write_if_changed().await {
            spdlog::warn!("crashes: can't write them to the store, retrying: {error}");
            let pause_ms = retry_pause_ms(&task.state);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

impl CrashTask {
    /// Reads the row and adds what it holds.
    async fn read(&mut self) -> Result<(), String> {
        let (rows, version, store_ms) = self.store.read(StoreTable::Crashes).await?;
        let state = &self.state;
        let now = state.clock.now();
        self.store_time = (store_ms, now);
        self.era = version;
        let row = rows.iter().find(|row| row.key == ROW_KEY);
        self.row_version = row.map_or(0, |row| row.version);
        self.digest = digest_of(&CrashSnapshot::default(), now);
        let Some(value) = row.and_then(|row| row.value.as_deref()) else {
            return Ok(());
        };
        // A row that can't be read is replaced by the next write.
        let row: CrashRow = match serde_json::from_slice(value) {
            Ok(row) => row,
            Err(error) => {
                spdlog::warn!("crashes: ignored the row in the store: {error}");
                return Ok(());
            }
        };
        let age_ms = store_ms.saturating_sub(row.store_ms);
        let taken_at = MilliTime::from_millis(now.as_millis().saturating_sub(age_ms));
        let snapshot = row.snapshot.aged(age_ms);
        self.digest = digest_of(&snapshot, now);
        if snapshot.is_empty() {
            return Ok(());
        }
        let known = {
            let mut view = state.view.borrow_mut();
            view.crashes.restore(&snapshot, taken_at, now);
            view.crashes.len()
        };
        publish_part_changes(state);
        spdlog::info!("crashes: read those in the store", kv: {
            crashes = snapshot.crashes.len(),
            parts = snapshot.parts.len(),
            known = known,
        });
        Ok(())
    }

    /// Writes the known crashes if they differ from those in the row and this process reads the store for the others.
    ///
    /// The row is read first if another process may have written it since this one has compared it.
    async fn write_if_changed(&mut self) -> Result<(), String> {
        if !is_store_reader(&self.state) {
            return Ok(());
        }
        let now = self.state.clock.now();
        let is_recent = |compared_at| now.since(compared_at) <= MAX_CHECK_GAP_MS;
        if !self.compared_at.is_some_and(is_recent) {
            self.read().await?;
        }
        self.write_difference().await?;
        self.compared_at = Some(self.state.clock.now());
        Ok(())
    }

    async fn write_difference(&mut self) -> Result<(), String> {
        let now = self.state.clock.now();
        let (snapshot, newest) = {
            let view = self.state.view.borrow();
            (view.crashes.snapshot(now), view.era.newest())
        };
        let digest = digest_of(&snapshot, now);
        if newest.is_some_and(|newest| newest.is_of_later_era(self.era)) {
            // The row is that of a copy, and its version may be given out again.
            return self.read().await;
        }
        if digest == self.digest {
            return Ok(());
        }
        let (store_ms, read_at) = self.store_time;
        let row = CrashRow {
            store_ms: store_ms.saturating_add(now.since(read_at)),
            snapshot,
        };
        let write = StoreWrite {
            table: StoreTable::Crashes,
            key: ROW_KEY.to_owned(),
            value: serde_json::to_vec(&row).map_err(|error| error.to_string())?,
            expected_version: Some(self.row_version),
        };
        match self.store.write(write).await? {
            StoreReply::Written { version, store_ms } => {
                self.row_version = version.version();
                self.era = version;
                self.store_time = (store_ms, self.state.clock.now());
                self.digest = digest;
                spdlog::debug!("crashes: written to the store", kv: {
                    crashes = row.snapshot.crashes.len(),
                });
                Ok(())
            }
            // Another process wrote; what it holds is added first.
            StoreReply::Conflict => self.read().await,
            other => Err(format!("unexpected reply of the store: {other:?}")),
        }
    }
}

/// Returns a number that differs for snapshots with other crashes or parts, and changes while a request still comes.
fn digest_of(snapshot: &CrashSnapshot, now: MilliTime) -> u64 {
    let mut digest = 0;
    for stored in &snapshot.crashes {
        let seen_ms = now
            .as_millis()
            .saturating_sub(u64::from(stored.seen_age_ms));
        let request = hash_text(seen_ms / REFRESH_MS, &stored.crash.fingerprint);
        digest ^= hash_text(request, &stored.crash.engine);
    }
    for report in &snapshot.parts {
        let part = hash_text(0, &report.part.to_string());
        for crash in &report.crashes {
            digest ^= hash_text(part ^ crash.engine, "part");
        }
    }
    digest
}
