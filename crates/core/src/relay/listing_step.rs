/// What a process does next to renew its list of engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListingStep {
    /// Nothing for this time, in milliseconds.
    Wait(u64),
    /// Fetch the changes from another process.
    FetchPeer,
    /// Read the whole list from the store.
    ReadStore,
}
