use serde::Deserialize;
use serde::Serialize;

/// The requests that a table stand-in has handled.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCounts {
    /// The commits that took effect.
    pub commits: u64,
    /// The commits that failed a check.
    pub conflicts: u64,
    /// The reads of one row.
    pub reads: u64,
    /// The scans.
    pub scans: u64,
}
