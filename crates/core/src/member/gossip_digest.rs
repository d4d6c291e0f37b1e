use serde::Deserialize;
use serde::Serialize;

/// A summary of the configuration, member table and crash counts that a process holds, by which two
/// processes detect that their copies differ.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipDigest {
    /// The configuration revision.
    pub revision: u64,
    /// The number of records in the member table, including members that are gone.
    pub count: u32,
    /// The hash over the records of members that are not gone.
    pub members: u32,
    /// The hash over the crash counts.
    pub crashes: u32,
}
