use serde::Deserialize;
use serde::Serialize;

use super::ConfirmMessage;
use super::PeerMessage;

/// A datagram between two processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerDatagram {
    /// The loads of the sender.
    #[serde(rename = "l")]
    Load(PeerMessage),
    /// The age of what the receiver holds.
    #[serde(rename = "c")]
    Confirm(ConfirmMessage),
}
