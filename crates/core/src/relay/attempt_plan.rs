use super::AttemptEnd;
use super::RelayRoute;

/// The maximum number of times that one request is sent, whether or not it ran.
///
/// Each rejected send costs the caller time and counts against the shared retry budget.
const MAX_SENDS: u32 = 4;

/// Tracks the attempts of one request and decides whether it may be sent again.
///
/// Any request may be sent again after attempts that did not run, up to a maximum number of sends.
/// After an attempt that may have run, it is sent again only if its route allows that, and on a
/// limited number of endpoints.
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
    /// Creates the plan of a request that may run on at most `max_runs` endpoints.
    ///
    /// With `allows_repeat` it may be sent again after an attempt that may have run.
    pub fn new(allows_repeat: bool, max_runs: u32) -> AttemptPlan {
        AttemptPlan {
            allows_repeat,
            max_runs: max_runs.max(1),
            sends: 0,
            runs: 0,
            is_last_unsent: false,
        }
    }

    /// Creates the plan of a request on `route`.
    pub fn for_route(route: &RelayRoute) -> AttemptPlan {
        AttemptPlan::new(route.repeat.allows_repeat(), route.max_attempts)
    }

    /// Records that an attempt was started.
    pub fn record_start(&mut self) {
        self.is_last_unsent = false;
    }

    /// Records how an attempt ended.
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

    /// Returns whether the request may be sent while `standing` attempts are in progress, each of which may have run.
    pub fn may_send_beside(&self, standing: usize) -> bool {
        let mut next = *self;
        for _ in 0..standing {
            next.record_end(AttemptEnd::Broken);
        }
        next.may_send()
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns whether the last attempt failed before it reached an endpoint.
    ///
    /// Sending again after such an attempt takes nothing from the retry budget.
    pub fn is_last_unsent(&self) -> bool {
        self.is_last_unsent
    }

    /// Returns the number of ended attempts.
    pub fn sends(&self) -> u32 {
        self.sends
    }
}
