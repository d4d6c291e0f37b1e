use serde::Deserialize;
use serde::Serialize;

/// What one process that reads the store tells another about the age of what it holds.
///
/// The stamps are the receiver's own: the newest of its messages that had arrived before the read
/// was begun. A datagram that is held up, or read by a process that was suspended, therefore never
/// makes anything look younger than it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmMessage {
    /// The run of the receiver that sent the stamps; they mean nothing to another one.
    pub run: u64,
    /// The version of the newest configuration.
    pub config: u64,
    /// The receiver's stamp at which the configuration was still the newest, in milliseconds.
    pub config_stamp: u64,
    /// The digest of the newest list of engines.
    pub listing: u64,
    /// The receiver's stamp at which the list was still the newest, in milliseconds.
    pub listing_stamp: u64,
}
