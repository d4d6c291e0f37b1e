use serde::Deserialize;
use serde::Serialize;

use crate::time::MilliTime;

use super::PartCrash;
use super::PromptPart;

/// What a process knows about a suspected prompt part, as processes report it to each other.
///
/// Times are ages, as the processes' clocks differ. An age does not count the time on the way, so it only
/// tells that something happened at the derived time or before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// The part.
    pub part: PromptPart,
    /// The last position, from 0, at which the part stood in a prompt whose run broke off.
    pub position: u8,
    /// The lost engines that count against the part.
    pub crashes: Vec<PartCrash>,
    /// The hashes of the lost engines that count no longer, as the part was served after their loss.
    pub cleared: Vec<u64>,
    /// Whether the sender knows that a request was served with the part.
    pub is_served: bool,
    /// The time since the sender last observed an engine answer a request with the part, in milliseconds.
    pub served_age_ms: Option<u32>,
}

/// Returns the age of an event as it is reported.
pub(super) fn age_ms(now: MilliTime, at: MilliTime) -> u32 {
    u32::try_from(now.since(at)).unwrap_or(u32::MAX)
}

/// Returns the time of an event whose age was reported now; the event was at this time or before.
pub(super) fn earlier(now: MilliTime, age_ms: u32) -> MilliTime {
    MilliTime::from_millis(now.as_millis().saturating_sub(u64::from(age_ms)))
}
