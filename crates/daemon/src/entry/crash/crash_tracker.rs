use std::sync::Mutex;
use std::sync::MutexGuard;

use dandelionroad_clients::table::TableClient;
use dandelionroad_core::admit::CrashLedger;
use dandelionroad_core::admit::CrashVerdict;
use dandelionroad_core::member::CrashRecord;
use dandelionroad_core::member::CrashTable;
use dandelionroad_core::stream::StreamOrder;

use super::crash_row::write_runs;

/// The crashes that an entry knows of, with the rows and the gossip that share them.
#[derive(Default)]
pub struct CrashTracker {
    ledger: Mutex<CrashLedger>,
}

impl CrashTracker {
    /// Creates a watch without crashes.
    pub fn new() -> CrashTracker {
        CrashTracker::default()
    }

    /// Returns what may be done with a request, and counts it as running if it may run.
    ///
    /// `known` are the counts of the gossip, which come from the table service.
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

    /// Counts a run that ended without a whole answer.
    pub fn end_run(&self, fingerprint: &str) {
        self.ledger().record_end(fingerprint);
    }

    /// Counts a crash of the run of `order` and returns the record to publish.
    ///
    /// Returns `None` while the crash can't be written, in which case the request must not be
    /// retried.
    pub async fn record_crash(
        &self,
        table: &dyn TableClient,
        order: &StreamOrder,
    ) -> Option<CrashRecord> {
        let run = format!("{}/{}", order.request, order.attempt);
        self.ledger().record_crash(&[(&order.fingerprint, &run)]);
        self.persist_runs(table, &order.fingerprint).await
    }

    /// Writes the crashes of a request that the table service does not hold yet.
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
            .then(|| CrashRecord {
                fingerprint: fingerprint.to_owned(),
                version: row.version,
                count: row.runs.len() as u32,
            })
    }

    /// Clears the crashes of a request that was completed and returns the record to publish, if
    /// the table service held any.
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
        Some(CrashRecord {
            fingerprint: fingerprint.to_owned(),
            version: row.version,
            count: row.runs.len() as u32,
        })
    }

    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
