use serde::Deserialize;
use serde::Serialize;

/// The row in the store that names the holder of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The process that holds the lease and its start time, so that a restarted process counts as
    /// another holder.
    pub holder: String,
    /// A number that increases with each change of holder and orders the actions of holders.
    pub term: u64,
    /// The expiry in the store's monotonic time, in milliseconds.
    pub until_ms: u64,
}
