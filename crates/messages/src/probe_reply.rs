use dandelionroad_core::member::MemberState;
use serde::Deserialize;
use serde::Serialize;

/// The current state of a process, which it returns to a liveness probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeReply {
    /// The name of the answering process.
    pub name: String,
    /// The incarnation of the answering process.
    pub incarnation: u64,
    /// The state of the answering process.
    pub state: MemberState,
    /// The configuration revision of the answering process.
    pub revision: u64,
}
