use serde::Deserialize;
use serde::Serialize;

use crate::config::ConfigDelta;

use super::CrashRecord;
use super::GossipDigest;
use super::MemberRecord;
use super::RangeHash;
use super::Suspicion;

/// A request or reply of gossip: a digest of what the sender holds, and news or repairs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct GossipMessage {
    /// The name of the sender.
    pub from: String,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// What the sender holds after it has sent this.
    pub digest: GossipDigest,
    /// Configuration that the receiver may lack.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ConfigDelta>,
    /// Member records that the receiver may lack.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberRecord>,
    /// Crash counts that the receiver may lack.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRecord>,
    /// Members that have not answered their probes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspicions: Vec<Suspicion>,
    /// Hashes of ranges in which the member tables may differ.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ranges: Vec<RangeHash>,
    /// Leaves of the member table whose records the sender asks for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wanted_leaves: Vec<u16>,
    /// Whether the sender asks for all crash counts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_crashes: bool,
    /// Whether the sender asks for all members and crash counts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_all: bool,
}
