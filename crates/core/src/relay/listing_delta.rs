use serde::Deserialize;
use serde::Serialize;

use super::EngineRecord;
use super::StoreVersion;

/// The changes between two versions of the list of engines; see
/// [`EngineListing`](super::EngineListing).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListingDelta {
    /// The version of the store to which the changes apply; [`StoreVersion::UNREAD`] if `changed` is the whole list.
    pub base: StoreVersion,
    /// The version of the store after the changes.
    pub version: StoreVersion,
    /// The digest of the list after the changes.
    pub digest: u64,
    /// The registrations that were added or changed.
    pub changed: Vec<EngineRecord>,
    /// The identifiers of the engines that are no longer listed.
    pub removed: Vec<String>,
}
