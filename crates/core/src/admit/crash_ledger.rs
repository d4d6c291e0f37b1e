use super::CrashVerdict;

/// The number of crashes after which a request is refused permanently.
const CRASHES_UNTIL_REFUSAL: usize = 2;

/// The crashes and current runs of one fingerprint.
#[derive(Clone, Debug)]
struct CrashRecord {
    fingerprint: String,
    /// The crashed runs, sorted, each with whether the table service has stored it.
    runs: Vec<(String, bool)>,
    /// The number of runs in progress at this entry.
    running: u32,
}

/// The crashes known to an entry, by request fingerprint.
///
/// The fingerprint of a request is the SHA-256 of its account, model and body, so that a request
/// that crashes engines does not affect other requests of its account. Each crash is identified by
/// its run, for example `request/attempt`, rather than counted as a number. The same crash can then
/// be merged from the table service and from several peers and still counts once.
///
/// # Example
///
/// ```
/// use dandelionroad_core::admit::CrashLedger;
/// use dandelionroad_core::admit::CrashVerdict;
///
/// let mut ledger = CrashLedger::new();
/// ledger.record_crash(&[("aa", "r1/0")]);
/// assert_eq!(ledger.verdict("aa"), CrashVerdict::PersistFirst);
/// // The table service has stored the run.
/// ledger.merge("aa", &["r1/0"], true);
/// assert_eq!(ledger.verdict("aa"), CrashVerdict::Suspect);
/// ledger.record_crash(&[("aa", "r1/1"), ("bb", "r2/0")]);
/// assert_eq!(ledger.verdict("aa"), CrashVerdict::Refused);
/// // A run beside a known suspect is not counted.
/// assert_eq!(ledger.verdict("bb"), CrashVerdict::Clear);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    /// Sorted by fingerprint.
    records: Vec<CrashRecord>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new() -> CrashLedger {
        CrashLedger::default()
    }

    /// Returns how a request may be handled.
    pub fn verdict(&self, fingerprint: &str) -> CrashVerdict {
        let Ok(index) = self.index(fingerprint) else {
            return CrashVerdict::Clear;
        };
        let record = &self.records[index];
        match record.runs.len() {
            0 => CrashVerdict::Clear,
            CRASHES_UNTIL_REFUSAL.. => CrashVerdict::Refused,
            _ if record.runs.iter().any(|(_, is_stored)| !is_stored) => CrashVerdict::PersistFirst,
            _ if record.running > 0 => CrashVerdict::Wait,
            _ => CrashVerdict::Suspect,
        }
    }

    /// Records the start of a run that this entry requested.
    pub fn record_start(&mut self, fingerprint: &str) {
        self.entry(fingerprint).running += 1;
    }

    /// Records the end of a run without an answer, whether or not it crashed.
    pub fn record_end(&mut self, fingerprint: &str) {
        if let Ok(index) = self.index(fingerprint) {
            let record = &mut self.records[index];
            record.running = record.running.saturating_sub(1);
            self.remove_if_empty(index);
        }
    }

    /// Clears the crashes of a request that completed.
    ///
    /// Returns whether the table service holds a row for it, which must be deleted.
    pub fn complete(&mut self, fingerprint: &str) -> bool {
        let Ok(index) = self.index(fingerprint) else {
            return false;
        };
        let record = &mut self.records[index];
        let is_stored = record.runs.iter().any(|(_, is_stored)| *is_stored);
        record.running = record.running.saturating_sub(1);
        record.runs.clear();
        self.remove_if_empty(index);
        is_stored
    }

    /// Records the crash or loss of an endpoint for its runs, given as pairs of fingerprint and run.
    ///
    /// If the runs include known suspects, the crash counts only for these, so that requests running
    /// beside a suspect are not blamed.
    pub fn record_crash(&mut self, runs: &[(&str, &str)]) {
        let suspects: Vec<&(&str, &str)> = runs
            .iter()
            .filter(|(fingerprint, _)| !self.runs(fingerprint).is_empty())
            .collect();
        if suspects.is_empty() {
            for (fingerprint, run) in runs {
                self.merge(fingerprint, &[run], false);
            }
        }
        for (fingerprint, run) in suspects {
            self.merge(fingerprint, &[run], false);
        }
    }

    /// Merges crashed runs from the row in the table service (`is_stored`) or from a peer.
    ///
    /// A run that is already known is not counted again.
    pub fn merge(&mut self, fingerprint: &str, runs: &[&str], is_stored: bool) {
        let record = self.entry(fingerprint);
        for run in runs {
            match record
                .runs
                .binary_search_by(|(known, _)| known.as_str().cmp(run))
            {
                Ok(index) => record.runs[index].1 |= is_stored,
                Err(index) => record.runs.insert(index, ((*run).to_owned(), is_stored)),
            }
        }
    }

    /// Returns the crashed runs of a request, sorted, each with whether the table service has stored
    /// it.
    pub fn runs(&self, fingerprint: &str) -> &[(String, bool)] {
        match self.index(fingerprint) {
            Ok(index) => &self.records[index].runs,
            Err(_) => &[],
        }
    }

    /// Returns the number of fingerprints with a crash or a run in progress.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no fingerprint has a crash or a run in progress.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn index(&self, fingerprint: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.fingerprint.as_str().cmp(fingerprint))
    }

    fn entry(&mut self, fingerprint: &str) -> &mut CrashRecord {
        let index = match self.index(fingerprint) {
            Ok(index) => index,
            Err(index) => {
                let record = CrashRecord {
                    fingerprint: fingerprint.to_owned(),
                    runs: Vec::new(),
                    running: 0,
                };
                self.records.insert(index, record);
                index
            }
        };
        &mut self.records[index]
    }

    fn remove_if_empty(&mut self, index: usize) {
        let record = &self.records[index];
        if record.runs.is_empty() && record.running == 0 {
            self.records.remove(index);
        }
    }
}
