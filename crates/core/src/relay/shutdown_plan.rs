use crate::time::MilliTime;

/// The time from the signal to stop in which the load balancer may still send new connections, in milliseconds.
///
/// It checks each second and needs two failed checks.
const BALANCER_MS: u64 = 3_000;

/// The time from the deadline of a request to the end of the process that its answer needs, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 100;

/// The minimum time to the end of the process with which a stream is admitted that may outlast it, in milliseconds.
///
/// At low load, 94 % of streams finish within it. With a higher value, streams are refused while the load
/// balancer still sends new connections, and a retry after such an early refusal may reach the process that
/// is stopped next.
const MIN_STREAM_MS: u64 = 5_000;

/// The minimum time to the end of the process with which a call of a plain service is admitted that may outlast it,
/// in milliseconds.
///
/// Calls take some tens of milliseconds.
const MIN_CALL_MS: u64 = 2_000;

/// The plan by which a process stops: until when it runs, and which requests it still admits.
///
/// A request that is cut at the end is worse for its caller than one that is refused at once, which another
/// process serves a moment later. While the load balancer still sends connections here, requests are admitted
/// that are likely to end in time; from then on only those that end in time whatever happens, as their deadlines
/// do.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::ShutdownPlan;
/// use dandelionroad_core::time::MilliTime;
///
/// let start = MilliTime::from_millis(10_000);
/// let plan = ShutdownPlan::new(start, 7_700);
/// let late = start.plus(4_000);
/// assert!(plan.admits(false, late, late.plus(2_000)));
/// assert!(!plan.admits(false, late, late.plus(4_000)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ShutdownPlan {
    started: MilliTime,
    end: MilliTime,
}

impl ShutdownPlan {
    /// Creates the plan of a process that was told to stop at `started` and cuts what still runs after `limit_ms`
    /// milliseconds.
    pub fn new(started: MilliTime, limit_ms: u64) -> ShutdownPlan {
        ShutdownPlan {
            started,
            end: started.plus(limit_ms),
        }
    }

    /// Returns the time at which the last connections are cut.
    pub fn end(&self) -> MilliTime {
        self.end
    }

    /// Returns whether a request is admitted that arrives at `now` and is given up at its deadline.
    pub fn admits(&self, is_stream: bool, now: MilliTime, deadline: MilliTime) -> bool {
        if deadline.plus(ANSWER_MARGIN_MS) <= self.end {
            return true;
        }
        let min_left_ms = match is_stream {
            true => MIN_STREAM_MS,
            false => MIN_CALL_MS,
        };
        now.since(self.started) <= BALANCER_MS && self.end.since(now) >= min_left_ms
    }
}
