use dandelionroad_core::relay::EngineCrash;
use dandelionroad_core::relay::PartReport;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use super::ConfirmMessage;
use super::DatagramError;
use super::LoadMessage;
use super::datagram_error::MalformedSnafu;
use super::datagram_error::UnknownVersionSnafu;

/// The version of the encoding, the first byte of each datagram; datagrams of other versions are
/// rejected.
///
/// It differs from the first byte of JSON, the encoding of the first release.
const VERSION: u8 = 5;

/// A datagram between two processes.
///
/// All processes send these several times a second, so the encoding is binary: as JSON, the loads of
/// 20 engines take four times the bytes, and traffic between availability zones is billed.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::StoreVersion;
/// use dandelionroad_relay::peer::ConfirmMessage;
/// use dandelionroad_relay::peer::PeerDatagram;
///
/// let datagram = PeerDatagram::Confirm(ConfirmMessage {
///     run: 1,
///     config: 7,
///     config_stamp: 1_000,
///     listing: 3,
///     listing_version: StoreVersion::new(0, 9),
///     listing_stamp: 900,
///     is_listing_whole: true,
///     listing_grace_ms: 0,
/// });
/// let bytes = datagram.encode().unwrap();
/// assert_eq!(PeerDatagram::decode(&bytes).unwrap(), datagram);
/// assert!(PeerDatagram::decode(b"{}").is_err());
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerDatagram {
    /// The loads that the sender puts on engines, and its demand.
    Load(LoadMessage),
    /// A confirmation of the state that the receiver holds.
    Confirm(ConfirmMessage),
    /// Engine crashes with the requests that may have caused them.
    Crashes(Vec<EngineCrash>),
    /// The fingerprints of requests that were suspected of crashes and then served.
    Served(Vec<String>),
    /// What the sender knows about prompt parts that may crash engines.
    Parts(Vec<PartReport>),
    /// Engines lost during established runs of requests that more than one engine was lost with.
    LateLosses(Vec<EngineCrash>),
}

impl PeerDatagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if a field can't be encoded, which doesn't happen for this type.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        postcard::to_extend(self, vec![VERSION]).context(MalformedSnafu)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a datagram of this version.
    pub fn decode(bytes: &[u8]) -> Result<PeerDatagram, DatagramError> {
        match bytes.split_first() {
            Some((&VERSION, rest)) => postcard::from_bytes(rest).context(MalformedSnafu),
            _ => UnknownVersionSnafu.fail(),
        }
    }
}
