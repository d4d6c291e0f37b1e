use std::rc::Rc;

use super::caller_activity::CallerActivity;

/// Marks a connection as serving a request until its last guard is dropped.
#[derive(Debug)]
pub(super) struct RequestGuard {
    activity: Rc<CallerActivity>,
}

impl RequestGuard {
    /// Records that the head of a request is complete.
    pub(super) fn new(activity: Rc<CallerActivity>) -> RequestGuard {
        activity.begin_request();
        RequestGuard { activity }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.activity.end_request();
    }
}
