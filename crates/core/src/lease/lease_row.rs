use serde::Deserialize;
use serde::Serialize;

/// The row in the store that names the holder of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The name and start time of the process that holds the lease. With the start time, a
    /// restarted process counts as another holder.
    pub holder: String,
    /// A number that increases with each change of holder and orders the actions of holders.
    pub term: u64,
    /// The expiry in the store's monotonic time, in milliseconds.
    pub until_ms: u64,
}
