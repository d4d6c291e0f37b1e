use serde::Deserialize;
use serde::Serialize;

/// The numbers of requests that a table stand-in has handled.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCounts {
    /// The number of commits that took effect.
    pub commits: u64,
    /// The number of commits that failed a check.
    pub conflicts: u64,
    /// The number of reads of a single row.
    pub reads: u64,
    /// The number of scans.
    pub scans: u64,
}
