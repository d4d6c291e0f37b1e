use crate::time::MilliTime;

/// What another process says of the newest list of engines, which it holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerListing {
    /// The time on this process's clock at which the list was the newest, or later.
    pub confirmed: MilliTime,
    /// Whether the list has each live engine, as far as the other process knows.
    pub is_whole: bool,
    /// The time for which the other process still keeps engines that the list lacks after an outage, in
    /// milliseconds.
    pub grace_ms: u64,
}
