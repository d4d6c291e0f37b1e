use super::CrashRecord;
use super::Suspicion;

/// The changes made by one event, to be published locally and pushed to the successors.
#[derive(Debug, Default)]
pub(super) struct GossipUpdate {
    /// The revision before the change, if the configuration changed.
    pub(super) config_base: Option<u64>,
    /// The names of the members whose changed records are pushed.
    pub(super) members: Vec<String>,
    /// Whether any member record changed, pushed or not.
    pub(super) has_member_changes: bool,
    /// Whether a member became present or gone, so that the overlay must be recomputed.
    pub(super) has_overlay_change: bool,
    /// Whether the local record changed.
    pub(super) has_local_change: bool,
    /// The crash counts that changed.
    pub(super) crashes: Vec<CrashRecord>,
    /// The suspicions that this process has not forwarded yet.
    pub(super) suspicions: Vec<Suspicion>,
}

impl GossipUpdate {
    /// Returns whether any change must be pushed.
    pub(super) fn needs_push(&self) -> bool {
        self.config_base.is_some()
            || !self.members.is_empty()
            || !self.crashes.is_empty()
            || !self.suspicions.is_empty()
    }
}
