use super::AttemptEnd;
use super::RelayRoute;

/// The most sends of one request, whether they ran or not.
///
/// Each send that is rejected costs its callers time and counts against the shared retry budget.
const MAX_SENDS: u32 = 4;

/// Decides whether a request may be sent once more.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::AttemptEnd;
/// use dandelionroad_core::relay::AttemptPlan;
///
/// // A request that may run once, on one endpoint.
/// let mut plan = AttemptPlan::new(false, 1);
/// plan.record_end(AttemptEnd::NotSent);
/// assert!(plan.may_send());
/// plan.record_end(AttemptEnd::Broken);
/// assert!(!plan.may_send());
/// assert!(plan.may_have_run());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AttemptPlan {
    allows_repeat: bool,
    max_runs: u32,
    sends: u32,
    runs: u32,
    is_last_unsent: bool,
}

impl AttemptPlan {
    /// Creates the plan of a request that may run on `max_runs` endpoints.
    pub fn new(allows_repeat: bool, max_runs: u32) -> AttemptPlan {
        AttemptPlan {
            allows_repeat,
            max_runs: max_runs.max(1),
            sends: 0,
            runs: 0,
            is_last_unsent: false,
        }
    }

    /// Creates the plan of a route's request.
    pub fn for_route(route: &RelayRoute) -> AttemptPlan {
        AttemptPlan::new(route.repeat.allows_repeat(), route.max_attempts)
    }

    /// Takes the end of an attempt.
    pub fn record_end(&mut self, end: AttemptEnd) {
        self.sends += 1;
        self.is_last_unsent = end == AttemptEnd::NotSent;
        match end {
            AttemptEnd::NotSent | AttemptEnd::Rejected => {}
            AttemptEnd::Failed | AttemptEnd::Broken => self.runs += 1,
        }
    }

    /// Returns whether the request may be sent again.
    pub fn may_send(&self) -> bool {
        self.sends < MAX_SENDS
            && (self.runs == 0 || self.allows_repeat && self.runs < self.max_runs)
    }

    /// Returns whether the request may be sent again if it is sent now and may have run.
    pub fn may_send_after_run(&self) -> bool {
        let mut next = *self;
        next.record_end(AttemptEnd::Broken);
        next.may_send()
    }

    /// Returns whether some attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns whether sending again repeats nothing, because no endpoint has seen the last attempt.
    ///
    /// Such a send takes nothing from the budget of retries.
    pub fn is_last_unsent(&self) -> bool {
        self.is_last_unsent
    }

    /// Returns the number of ended attempts.
    pub fn sends(&self) -> u32 {
        self.sends
    }
}
