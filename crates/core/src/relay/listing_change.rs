/// What an update of the engine table changed, by the identifiers of the engines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListingChange {
    /// Engines that were added, or that restarted under the same identifier.
    pub added: Vec<String>,
    /// Engines that were removed.
    pub removed: Vec<String>,
    /// Engines that have begun to drain.
    pub draining: Vec<String>,
    /// The incarnations that were removed, or that a new one replaced.
    pub lost: Vec<String>,
}
