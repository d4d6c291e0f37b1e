/// The state from which [`ListingPlan`](super::ListingPlan) decides.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ListingStatus {
    /// The time since the held list was last confirmed to be the newest, in milliseconds.
    pub age_ms: u64,
    /// Whether this process reads the store for the others.
    pub is_reader: bool,
    /// Whether another process has reported a newer list.
    pub is_superseded: bool,
    /// The number of live processes of the availability zone that come before this one in the order of
    /// election.
    pub rank: u32,
    /// The age of the freshest list that another process has reported, in milliseconds.
    pub peer_age_ms: Option<u64>,
    /// The time until a failed read of the store is tried again, in milliseconds.
    pub store_pause_ms: u64,
}
