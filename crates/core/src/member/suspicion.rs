use serde::Deserialize;
use serde::Serialize;

/// The notice to a member that it has not answered its probes, so that it can refute it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspicion {
    /// The name of the suspected member.
    pub name: String,
    /// The incarnation that is suspected; a higher one refutes the suspicion.
    pub incarnation: u64,
}
