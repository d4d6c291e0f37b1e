use super::CrashVerdict;

/// The number of crashes at which a request is refused for good.
const REFUSE_COUNT: usize = 2;

/// The crashes of one fingerprint.
#[derive(Clone, Debug)]
struct CrashRecord {
    fingerprint: String,
    /// The runs that crashed, sorted, each with whether the table service holds it.
    runs: Vec<(String, bool)>,
    /// The number of present runs of this fingerprint at this entry.
    running: u32,
}

/// The crashes that an entry knows of, by fingerprint.
///
/// The fingerprint of a request is the SHA-256 of its account, model and body, so that a request
/// that crashes engines does not affect other requests of its account. Each crash is named by the
/// run that met it, for example as `request/attempt`: merging the same crash from the table service
/// and from several peers then counts it once, which a plain number would not.
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
/// // The row was written with this run.
/// ledger.merge("aa", &["r1/0"], true);
/// assert_eq!(ledger.verdict("aa"), CrashVerdict::Suspect);
/// ledger.record_crash(&[("aa", "r1/1"), ("bb", "r2/0")]);
/// assert_eq!(ledger.verdict("aa"), CrashVerdict::Refused);
/// // Only suspects count when one was running.
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

    /// Returns what may be done with a request.
    pub fn verdict(&self, fingerprint: &str) -> CrashVerdict {
        let Ok(index) = self.index(fingerprint) else {
            return CrashVerdict::Clear;
        };
        let record = &self.records[index];
        match record.runs.len() {
            0 => CrashVerdict::Clear,
            REFUSE_COUNT.. => CrashVerdict::Refused,
            _ if record.runs.iter().any(|(_, is_stored)| !is_stored) => CrashVerdict::PersistFirst,
            _ if record.running > 0 => CrashVerdict::Wait,
            _ => CrashVerdict::Suspect,
        }
    }

    /// Counts a run that starts at this entry's request.
    pub fn record_start(&mut self, fingerprint: &str) {
        self.entry(fingerprint).running += 1;
    }

    /// Counts a run that ended without an answer, with or without a crash.
    pub fn record_end(&mut self, fingerprint: &str) {
        if let Ok(index) = self.index(fingerprint) {
            let record = &mut self.records[index];
            record.running = record.running.saturating_sub(1);
            self.trim(index);
        }
    }

    /// Clears the crashes of a request that was completed.
    ///
    /// Returns whether its row in the table service is to be deleted.
    pub fn complete(&mut self, fingerprint: &str) -> bool {
        let Ok(index) = self.index(fingerprint) else {
            return false;
        };
        let record = &mut self.records[index];
        let is_stored = record.runs.iter().any(|(_, is_stored)| *is_stored);
        record.running = record.running.saturating_sub(1);
        record.runs.clear();
        self.trim(index);
        is_stored
    }

    /// Counts the crash or loss of an endpoint for the runs there, as pairs of fingerprint and run.
    ///
    /// If a suspect was among them, only suspects count, so that a request next to a known suspect
    /// is not blamed.
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

    /// Returns the crashed runs of a request, sorted, each with whether the table service holds it.
    pub fn runs(&self, fingerprint: &str) -> &[(String, bool)] {
        match self.index(fingerprint) {
            Ok(index) => &self.records[index].runs,
            Err(_) => &[],
        }
    }

    /// Returns the number of fingerprints with a crash or a run.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no fingerprint has a crash or a run.
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

    fn trim(&mut self, index: usize) {
        let record = &self.records[index];
        if record.runs.is_empty() && record.running == 0 {
            self.records.remove(index);
        }
    }
}
