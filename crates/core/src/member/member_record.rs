use serde::Deserialize;
use serde::Serialize;

use crate::ident::HostName;
use crate::ident::ZoneName;

use super::HeldModel;
use super::MemberRole;
use super::MemberState;

/// The least time between two starts of a process, in milliseconds.
const RESTART_GAP_MS: u64 = 1_000;

/// What is known about one process of the system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The name of the process: the endpoint's name, or the name of the entry.
    pub name: String,
    /// The role of the process.
    pub role: MemberRole,
    /// The host that it runs on.
    pub host: HostName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The internal address, as `ip:port`.
    pub address: String,
    /// The incarnation: the start time in milliseconds, raised to refute a suspicion.
    pub incarnation: u64,
    /// The state.
    pub state: MemberState,
    /// Raised by the process itself whenever `held` changes within one incarnation and state.
    #[serde(default)]
    pub sequence: u64,
    /// What the engine holds and can serve; `None` while it loads, and for entries and services.
    #[serde(default)]
    pub held: Option<HeldModel>,
}

impl MemberRecord {
    /// Returns whether this record replaces `other` of the same name.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        let own = (self.incarnation, self.state, self.sequence);
        own > (other.incarnation, other.state, other.sequence)
    }

    /// Returns whether both records tell of the same run of the process.
    ///
    /// A refutation raises the incarnation by one, a restart to the start time in milliseconds.
    pub fn is_same_run(&self, other: &MemberRecord) -> bool {
        self.incarnation.abs_diff(other.incarnation) < RESTART_GAP_MS
    }
}
