use serde::Deserialize;
use serde::Serialize;

use crate::ident::HostName;
use crate::ident::ZoneName;

use super::HeldModel;
use super::MemberRole;
use super::MemberState;

/// The minimum time between two starts of a process, in milliseconds.
const MIN_RESTART_INTERVAL_MS: u64 = 1_000;

/// The replicated record of one process of the system.
///
/// Records of one member are ordered by incarnation, state and sequence; the highest one wins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The name of the process: the endpoint's name, or the name of the entry.
    pub name: String,
    /// The role of the process.
    pub role: MemberRole,
    /// The host that the process runs on.
    pub host: HostName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The internal address, as `ip:port`.
    pub address: String,
    /// The incarnation: the start time in milliseconds since the Unix epoch, incremented to refute
    /// a suspicion.
    pub incarnation: u64,
    /// The state of the process.
    pub state: MemberState,
    /// The sequence number of `held`, which the process increments on each change within one
    /// incarnation and state.
    #[serde(default)]
    pub sequence: u64,
    /// The model that the engine can serve; `None` while it loads, and for entries and plain
    /// services.
    #[serde(default)]
    pub held: Option<HeldModel>,
}

impl MemberRecord {
    /// Returns whether this record is newer than `other` of the same name.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        let own = (self.incarnation, self.state, self.sequence);
        own > (other.incarnation, other.state, other.sequence)
    }

    /// Returns whether both records describe the same run of the process.
    ///
    /// A refutation raises the incarnation by one, while a restart sets it to the new start time, at
    /// least a second later.
    pub fn is_same_run(&self, other: &MemberRecord) -> bool {
        self.incarnation.abs_diff(other.incarnation) < MIN_RESTART_INTERVAL_MS
    }
}
