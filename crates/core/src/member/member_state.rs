use serde::Deserialize;
use serde::Serialize;

/// The lifecycle state of a member; within one incarnation it only moves forward.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Accepts new work.
    Live,
    /// Finishes its running work and accepts no new work.
    Leaving,
    /// Stopped, or declared failed.
    Gone,
}
