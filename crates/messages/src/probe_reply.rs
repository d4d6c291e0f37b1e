use dandelionroad_core::member::MemberState;
use serde::Deserialize;
use serde::Serialize;

/// The current state of a process, which it returns to a liveness probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeReply {
    /// The member name of the answering process.
    pub name: String,
    /// The incarnation of the answering process, as in its member record.
    pub incarnation: u64,
    /// The lifecycle state of the answering process, such as `Leaving`.
    pub state: MemberState,
    /// The configuration revision that the answering process applies.
    pub revision: u64,
}
