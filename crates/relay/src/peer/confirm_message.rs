use dandelionroad_core::relay::StoreVersion;
use serde::Deserialize;
use serde::Serialize;

/// A confirmation by the store reader of the newest configuration and list of engines, sent to one
/// other process.
///
/// The timestamps are on the receiver's own clock: each is that of the newest message of the receiver that
/// had arrived when the read of the store started. A delayed datagram, or one that is read after the
/// receiver was suspended, therefore never makes state look fresher than it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmMessage {
    /// The run of the receiver that sent the timestamps; they are invalid for any other run.
    pub run: u64,
    /// The version of the newest configuration.
    pub config: u64,
    /// The time on the receiver's clock at which that configuration was the newest, in milliseconds.
    pub config_stamp: u64,
    /// The digest of the newest list of engines.
    pub listing: u64,
    /// The store's version of that list, with its era.
    pub listing_version: StoreVersion,
    /// The time on the receiver's clock at which that list was the newest, in milliseconds.
    pub listing_stamp: u64,
    /// Whether that list is known to have each live engine; false while entries that lapsed in an outage of the store
    /// may be missing.
    pub is_listing_whole: bool,
    /// The time for which engines that the list lacks after an outage are still kept, in milliseconds.
    pub listing_grace_ms: u64,
}
