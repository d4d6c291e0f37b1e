use dandelionroad_core::member::MemberState;
use serde::Deserialize;
use serde::Serialize;

/// The answer to a probe.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProbeReply {
    /// The name of the answering process.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
    /// The configuration revision that it holds.
    pub revision: u64,
}
