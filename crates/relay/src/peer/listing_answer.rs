use dandelionroad_core::relay::ListingDelta;
use serde::Deserialize;
use serde::Serialize;

/// The changes of the list of engines that one process serves to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListingAnswer {
    /// The time since the list was last confirmed to be the newest, in milliseconds.
    ///
    /// The list was the newest this long before the request was sent, or later.
    pub age_ms: u64,
    /// Whether the list was known to have each live engine when it was last confirmed.
    pub is_whole: bool,
    /// The time for which engines that the list lacks after an outage are still kept, in milliseconds.
    pub grace_ms: u64,
    /// The changes since the version that was asked for.
    pub delta: ListingDelta,
}
