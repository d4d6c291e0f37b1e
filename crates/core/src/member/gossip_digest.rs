use serde::Deserialize;
use serde::Serialize;

/// What a process holds, in short.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipDigest {
    /// The configuration revision.
    pub revision: u64,
    /// The number of members that are known, gone ones included.
    pub count: u32,
    /// The hash over the members that are not gone.
    pub members: u32,
    /// The hash over the crash counts.
    pub crashes: u32,
}
