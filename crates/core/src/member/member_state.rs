use serde::Deserialize;
use serde::Serialize;

/// The state of a member; within one incarnation it only moves forward.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Takes new work.
    Live,
    /// Finishes its work and takes no new work.
    Leaving,
    /// Stopped or lost.
    Gone,
}
