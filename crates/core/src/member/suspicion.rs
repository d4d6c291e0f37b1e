use serde::Deserialize;
use serde::Serialize;

/// The claim that a member has failed, forwarded to all members so that the suspected member can
/// refute it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspicion {
    /// The name of the suspected member.
    pub name: String,
    /// The suspected incarnation; the member refutes the suspicion with a higher one.
    pub incarnation: u64,
}
