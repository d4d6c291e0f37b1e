use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use dandelionroad_clients::PlatformError;
use dandelionroad_clients::table::TableClient;
use dandelionroad_core::admit::CrashLedger;
use dandelionroad_core::admit::CrashVerdict;
use dandelionroad_core::member::CrashRecord;
use dandelionroad_core::member::CrashTable;
use dandelionroad_core::relay::PartChange;
use dandelionroad_core::relay::PartLedger;
use dandelionroad_core::relay::PartVerdict;
use dandelionroad_core::relay::PromptPart;
use dandelionroad_core::stream::StreamOrder;
use dandelionroad_core::time::MilliTime;

use super::crash_row::CrashRow;
use super::crash_row::read_runs;
use super::crash_row::scan_rows;
use super::crash_row::write_runs;

/// The crashes of requests known to an entry.
///
/// Combines the local [`CrashLedger`] with the rows of the table service and the counts that gossip
/// spreads. Crashes by shared messages of chats are counted by this entry alone.
#[derive(Default)]
pub struct CrashTracker {
    ledger: Mutex<CrashLedger>,
    parts: Mutex<PartLedger>,
    /// Whether the rows that earlier processes wrote were read after the start, or could not be read.
    is_load_tried: AtomicBool,
}

impl CrashTracker {
    /// Creates a tracker without crashes.
    pub fn new() -> CrashTracker {
        CrashTracker::default()
    }

    /// Returns how a request may be handled, and counts a run of it as started if it may run.
    ///
    /// `known` holds the counts received by gossip, which are those stored in the table service.
    pub fn start_run(&self, fingerprint: &str, known: &CrashTable) -> CrashVerdict {
        let mut ledger = self.ledger();
        let verdict = match (ledger.verdict(fingerprint), known.count(fingerprint)) {
            (_, 2..) => CrashVerdict::Refused,
            (CrashVerdict::Clear, 1) => CrashVerdict::Suspect,
            (verdict, _) => verdict,
        };
        if matches!(verdict, CrashVerdict::Clear | CrashVerdict::Suspect) {
            ledger.record_start(fingerprint);
        }
        verdict
    }

    /// Returns whether the rows that earlier processes wrote were read after the start, or could not be read.
    pub fn is_load_tried(&self) -> bool {
        self.is_load_tried.load(Ordering::Acquire)
    }

    /// Reads the crashed runs of all requests from the table service; returns the records to publish.
    ///
    /// After the loss of all processes, no gossip has them.
    ///
    /// # Errors
    ///
    /// Returns an error if the rows can't be read.
    pub async fn load(&self, table: &dyn TableClient) -> Result<Vec<CrashRecord>, PlatformError> {
        let rows = scan_rows(table).await;
        // While the table service is away, requests run without what it holds.
        self.is_load_tried.store(true, Ordering::Release);
        let mut ledger = self.ledger();
        let record = |(fingerprint, row): (String, CrashRow)| {
            let stored: Vec<&str> = row.runs.iter().map(String::as_str).collect();
            ledger.merge(&fingerprint, &stored, true);
            record_of(&fingerprint, &row)
        };
        Ok(rows?.into_iter().map(record).collect())
    }

    /// Reads the crashed runs of one request, while those of all requests are not read yet; returns the record to publish.
    ///
    /// Returns `None` if there are none or the table service doesn't answer.
    pub async fn load_request(
        &self,
        table: &dyn TableClient,
        fingerprint: &str,
    ) -> Option<CrashRecord> {
        let row = read_runs(table, fingerprint).await.ok()?;
        let stored: Vec<&str> = row.runs.iter().map(String::as_str).collect();
        if stored.is_empty() {
            return None;
        }
        self.ledger().merge(fingerprint, &stored, true);
        Some(record_of(fingerprint, &row))
    }

    /// Returns whether a request with these shared parts of its prompt may run.
    pub fn admits_parts(&self, parts: &[PromptPart], now: MilliTime) -> bool {
        let mut ledger = self.parts();
        ledger.expire(now);
        ledger.admit(parts, 0, now) != PartVerdict::Refused
    }

    /// Records a crash of a run whose answer had only just begun; returns whether the request may be retried.
    pub fn record_part_crash(&self, parts: &[PromptPart], run: &str, now: MilliTime) -> bool {
        let mut ledger = self.parts();
        ledger.record_crash(parts, run, now);
        // The reports are for the relay's processes; an entry of this way sends none.
        ledger.take_reports(false, now);
        log_part_changes(&ledger.take_changes());
        ledger.verdict(parts) != PartVerdict::Refused
    }

    /// Records that an answer has outlasted its start, which clears the shared parts of the prompt.
    pub fn record_parts_served(&self, parts: &[PromptPart], now: MilliTime) {
        let mut ledger = self.parts();
        ledger.record_served(parts, now);
        log_part_changes(&ledger.take_changes());
    }

    /// Records the end of a run without a complete answer.
    pub fn end_run(&self, fingerprint: &str) {
        self.ledger().record_end(fingerprint);
    }

    /// Records a crash of the run of `order` and returns the record to publish by gossip.
    ///
    /// Returns `None` if the crash can't be stored; the request must not be retried then.
    pub async fn record_crash(
        &self,
        table: &dyn TableClient,
        order: &StreamOrder,
    ) -> Option<CrashRecord> {
        let run = format!("{}/{}", order.request, order.attempt);
        self.ledger().record_crash(&[(&order.fingerprint, &run)]);
        self.persist_runs(table, &order.fingerprint).await
    }

    /// Stores the crashed runs of a request in the table service and returns the record to publish.
    ///
    /// Returns `None` if they can't be stored.
    pub async fn persist_runs(
        &self,
        table: &dyn TableClient,
        fingerprint: &str,
    ) -> Option<CrashRecord> {
        let runs: Vec<String> = {
            let ledger = self.ledger();
            let runs = ledger.runs(fingerprint).iter();
            runs.map(|(run, _)| run.clone()).collect()
        };
        let row = write_runs(table, fingerprint, Some(&runs)).await.ok()?;
        let stored: Vec<&str> = row.runs.iter().map(String::as_str).collect();
        self.ledger().merge(fingerprint, &stored, true);
        runs.iter()
            .all(|run| row.runs.contains(run))
            .then(|| record_of(fingerprint, &row))
    }

    /// Records the end of a run with a complete answer, which clears the crashes of the request.
    ///
    /// Returns the record to publish; `None` if no crash was stored or if the row can't be written.
    pub async fn complete_run(
        &self,
        table: &dyn TableClient,
        fingerprint: &str,
        known: &CrashTable,
    ) -> Option<CrashRecord> {
        let is_stored = self.ledger().complete(fingerprint);
        if !is_stored && known.count(fingerprint) == 0 {
            return None;
        }
        let row = write_runs(table, fingerprint, None).await.ok()?;
        Some(record_of(fingerprint, &row))
    }

    fn parts(&self) -> MutexGuard<'_, PartLedger> {
        self.parts
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }

    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}

/// Returns the record of a row that gossip spreads.
fn record_of(fingerprint: &str, row: &CrashRow) -> CrashRecord {
    CrashRecord {
        fingerprint: fingerprint.to_owned(),
        version: row.version,
        count: row.runs.len() as u32,
    }
}

fn log_part_changes(changes: &[PartChange]) {
    for change in changes {
        match change {
            PartChange::Suspected { part, engines } => {
                spdlog::info!("entry: shared part of a prompt may crash endpoints", kv: {
                    part = part.to_string(),
                    crashes = *engines,
                });
            }
            PartChange::Refused { part, engines } => {
                spdlog::warn!("entry: shared part of a prompt crashes endpoints, refused", kv: {
                    part = part.to_string(),
                    crashes = *engines,
                });
            }
            PartChange::Cleared { part } => {
                spdlog::info!("entry: shared part of a prompt no longer suspected", kv: {
                    part = part.to_string(),
                });
            }
        }
    }
}
