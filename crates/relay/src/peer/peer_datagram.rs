use dandelionroad_core::relay::EngineCrash;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use super::ConfirmMessage;
use super::DatagramError;
use super::LoadMessage;
use super::datagram_error::MalformedSnafu;
use super::datagram_error::UnknownVersionSnafu;

/// The version of the encoding; processes of another one are not understood.
///
/// It differs from the first byte of JSON, in which the first release wrote its datagrams.
const VERSION: u8 = 2;

/// A datagram between two processes.
///
/// All processes send these several times a second, so the encoding is binary: as JSON, the loads of
/// 20 engines took four times the bytes, and bytes between availability zones are priced.
///
/// # Example
///
/// ```
/// use dandelionroad_relay::peer::ConfirmMessage;
/// use dandelionroad_relay::peer::PeerDatagram;
///
/// let datagram = PeerDatagram::Confirm(ConfirmMessage {
///     run: 1,
///     config: 7,
///     config_stamp: 1_000,
///     listing: 3,
///     listing_stamp: 900,
/// });
/// let bytes = datagram.encode().unwrap();
/// assert_eq!(PeerDatagram::decode(&bytes).unwrap(), datagram);
/// assert!(PeerDatagram::decode(b"{}").is_err());
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerDatagram {
    /// The loads of the sender.
    Load(LoadMessage),
    /// The age of what the receiver holds.
    Confirm(ConfirmMessage),
    /// Requests that crashed engines.
    Crashes(Vec<EngineCrash>),
    /// The fingerprints of requests that were served after all.
    Served(Vec<String>),
}

impl PeerDatagram {
    /// Returns the bytes of the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if a field can't be written, which no datagram of this type has.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        postcard::to_extend(self, vec![VERSION]).context(MalformedSnafu)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns why the bytes are no datagram of this version.
    pub fn decode(bytes: &[u8]) -> Result<PeerDatagram, DatagramError> {
        match bytes.split_first() {
            Some((&VERSION, rest)) => postcard::from_bytes(rest).context(MalformedSnafu),
            _ => UnknownVersionSnafu.fail(),
        }
    }
}
