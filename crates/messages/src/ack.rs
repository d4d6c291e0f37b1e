use serde::Deserialize;
use serde::Serialize;

/// The acknowledgement of a message that needs no other answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ack {
    /// The configuration revision of the answering process.
    pub revision: u64,
}
