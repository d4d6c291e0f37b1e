use serde::Deserialize;
use serde::Serialize;

/// The row that names the holder of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The process that holds the lease, with its start, so that a restart is another holder.
    pub holder: String,
    /// A number that rises with each change of holder; it orders what holders do.
    pub term: u64,
    /// The steady time of the store until which the lease holds, in milliseconds.
    pub until_ms: u64,
}
