use serde::Deserialize;
use serde::Serialize;

use crate::config::ConfigDelta;

use super::CrashRecord;
use super::GossipDigest;
use super::MemberRecord;
use super::RangeHash;
use super::Suspicion;

/// A gossip request or reply: the digest of the sender, with pushed changes or repairs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipMessage {
    /// The name of the sender.
    pub from: String,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The digest of the sender's copies at the time of sending.
    pub digest: GossipDigest,
    /// Configuration changes that the receiver may lack.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ConfigDelta>,
    /// Member records that the receiver may lack.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberRecord>,
    /// Crash counts that the receiver may lack.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRecord>,
    /// Members that missed their probes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspicions: Vec<Suspicion>,
    /// Hashes of hash-tree ranges in which the member tables may differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ranges: Vec<RangeHash>,
    /// Leaves of the hash tree whose records the sender requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wanted_leaves: Vec<u16>,
    /// Whether the sender requests all crash counts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_crashes: bool,
    /// Whether the sender requests all member records and crash counts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_all: bool,
}
