use serde::Deserialize;
use serde::Serialize;

/// The answer to a message that has no other answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The configuration revision that the answering process holds.
    pub revision: u64,
}
