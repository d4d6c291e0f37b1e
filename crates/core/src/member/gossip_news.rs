use super::CrashRecord;
use super::Suspicion;

/// What one event changed, to be published and pushed to the neighbours.
#[derive(Debug, Default)]
pub(super) struct GossipNews {
    /// The revision held before the configuration changed.
    pub(super) config_base: Option<u64>,
    /// The names of the members whose records changed and are pushed.
    pub(super) members: Vec<String>,
    /// Whether member records changed, pushed or not.
    pub(super) has_members: bool,
    /// Whether members came or went, so that the overlay is out of date.
    pub(super) has_overlay: bool,
    /// Whether the own record changed.
    pub(super) has_own: bool,
    /// The crash counts that changed.
    pub(super) crashes: Vec<CrashRecord>,
    /// The suspicions that were not forwarded before.
    pub(super) suspicions: Vec<Suspicion>,
}

impl GossipNews {
    /// Returns whether there is anything to push.
    pub(super) fn has_push(&self) -> bool {
        self.config_base.is_some()
            || !self.members.is_empty()
            || !self.crashes.is_empty()
            || !self.suspicions.is_empty()
    }
}
