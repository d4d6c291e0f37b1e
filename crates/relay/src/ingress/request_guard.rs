use std::rc::Rc;

use super::activity_phase::ActivityPhase;
use super::caller_activity::CallerActivity;

/// Marks a connection as serving a request until it is dropped.
#[derive(Debug)]
pub(super) struct RequestGuard {
    activity: Rc<CallerActivity>,
}

impl RequestGuard {
    /// Records that the head of a request is complete.
    pub(super) fn new(activity: Rc<CallerActivity>) -> RequestGuard {
        activity.enter(ActivityPhase::Request);
        RequestGuard { activity }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.enter(ActivityPhase::Idle);
    }
}
