use super::CrashRecord;
use super::hash::fold_to_u32;
use super::hash::hash_text;
use super::hash::mix;

/// The crash counts that a process holds, sorted by fingerprint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashTable {
    records: Vec<CrashRecord>,
    hash: u64,
}

impl CrashTable {
    /// The maximum number of records, which keeps the table below 200 KB.
    ///
    /// A fingerprint that doesn't fit is still found in the table service before any retry.
    pub const MAX_RECORDS: usize = 1_024;

    /// Creates an empty table.
    pub fn new() -> CrashTable {
        CrashTable::default()
    }

    /// Merges a record and returns whether the table changed.
    ///
    /// A full table accepts a new fingerprint only if it sorts before the last one, which is then
    /// evicted. All processes thereby keep the same records.
    pub fn merge(&mut self, record: &CrashRecord) -> bool {
        match self.find(&record.fingerprint) {
            Ok(index) if self.records[index].version >= record.version => false,
            Ok(index) => {
                self.hash ^= record_hash(record) ^ record_hash(&self.records[index]);
                self.records[index] = record.clone();
                true
            }
            Err(index) if index >= CrashTable::MAX_RECORDS => false,
            Err(index) => {
                self.hash ^= record_hash(record);
                self.records.insert(index, record.clone());
                if self.records.len() > CrashTable::MAX_RECORDS
                    && let Some(dropped) = self.records.pop()
                {
                    self.hash ^= record_hash(&dropped);
                }
                true
            }
        }
    }

    /// Returns the crash count of a fingerprint, or 0 if the table has no record of it.
    pub fn count(&self, fingerprint: &str) -> u32 {
        match self.find(fingerprint) {
            Ok(index) => self.records[index].count,
            Err(_) => 0,
        }
    }

    /// Returns all records, sorted by fingerprint.
    pub fn records(&self) -> &[CrashRecord] {
        &self.records
    }

    /// Returns the hash over all records, which does not depend on the order of merges.
    pub fn hash(&self) -> u32 {
        fold_to_u32(self.hash)
    }

    fn find(&self, fingerprint: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|known| known.fingerprint.as_str().cmp(fingerprint))
    }
}

fn record_hash(record: &CrashRecord) -> u64 {
    let version = mix(record.version ^ (u64::from(record.count) << 48));
    mix(hash_text(&record.fingerprint) ^ version)
}
