use crate::time::MilliTime;

use super::LifeSign;
use super::SuspicionCause;
use super::refused_size::RefusedSize;

/// The time for which an engine is avoided after one failure, in milliseconds.
///
/// Requests that depend on a dead engine stall for two seconds before they are cut off, so a
/// shorter time would send several rounds of requests to it.
const AVOID_MS: u64 = 2_000;

/// The maximum time for which an engine is avoided, in milliseconds.
const MAX_AVOID_MS: u64 = 6_000;

/// The time from its suspicion on within which a sound engine that is silent goes on, in milliseconds.
///
/// Sound engines may be silent for a second or so.
const SILENCE_MS: u64 = 1_500;

/// Why this process sends an engine no new work, each reason with its end.
///
/// A reason ends as soon as what it stands for is over, not only by time: a suspicion with the first sign of
/// life, a refusal when a request of its size is taken.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::EngineMarks;
/// use dandelionroad_core::relay::LifeSign;
/// use dandelionroad_core::relay::SuspicionCause;
/// use dandelionroad_core::time::MilliTime;
///
/// let now = MilliTime::from_millis(10_000);
/// let mut marks = EngineMarks::default();
/// assert!(marks.suspect(SuspicionCause::NoReport, now, now));
/// assert!(marks.avoided_until() > now);
/// assert!(marks.record_sign(LifeSign::Report, now.plus(300)));
/// assert!(marks.avoided_until() <= now.plus(300));
/// // A report that was asked for before says nothing new.
/// assert!(!marks.suspect(SuspicionCause::NoReport, now.plus(200), now.plus(450)));
/// // The refusal of a resumed stream counts for resumed streams that are as large.
/// marks.record_refusal(500.0, true, now);
/// assert!(marks.is_full_for(600.0, true, now));
/// assert!(!marks.is_full_for(400.0, true, now));
/// assert!(!marks.is_full_for(600.0, false, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EngineMarks {
    /// The number of failures since the last success.
    failures: u32,
    failed_until: MilliTime,
    stalled_until: MilliTime,
    suspected_until: MilliTime,
    /// The cause of the last suspicion.
    suspicion: Option<SuspicionCause>,
    /// The beginning of the first suspicion since the last sign of life.
    silent_since: Option<MilliTime>,
    /// The time of the last answer in which it took part.
    answered_at: Option<MilliTime>,
    /// The time of its last report.
    reported_at: Option<MilliTime>,
    refused_new: RefusedSize,
    refused_resumed: RefusedSize,
}

impl EngineMarks {
    /// Returns the end of the time in which no new work is sent to the engine.
    pub fn avoided_until(&self) -> MilliTime {
        self.failed_until
            .max(self.stalled_until)
            .max(self.suspected_until)
    }

    /// Returns whether the engine counts as dead now, because it returned no report or another engine reported it
    /// as stalled.
    pub fn is_suspected(&self, now: MilliTime) -> bool {
        self.suspected_until > now
    }

    /// Returns the time until which the engine may go on if it is sound and only silent; `None` if it is not
    /// suspected, if it was silent for longer, or if it is avoided for another reason.
    pub fn silence_end(&self, now: MilliTime) -> Option<MilliTime> {
        let start = self.silent_since.filter(|_| self.is_suspected(now))?;
        let end = start.plus(SILENCE_MS);
        let is_failed = self.failed_until > now || self.stalled_until > now;
        (end > now && !is_failed).then_some(end)
    }

    /// Counts a failure and avoids the engine for a time that grows with consecutive failures.
    pub fn record_failure(&mut self, now: MilliTime) {
        self.failed_until = self.failed_until.max(self.count_failure(now));
    }

    /// Avoids the engine because its runs stall.
    pub fn record_stalls(&mut self, now: MilliTime) {
        self.stalled_until = self.stalled_until.max(self.count_failure(now));
    }

    /// Avoids the engine as dead; returns whether this is new.
    ///
    /// Nothing changes if there was a sign of life since `asked_at`, when what led to the suspicion was asked.
    pub fn suspect(&mut self, cause: SuspicionCause, asked_at: MilliTime, now: MilliTime) -> bool {
        let heard_at = match cause {
            SuspicionCause::NoReport => self.answered_at.max(self.reported_at),
            // An engine that others report as stalled may return reports all the while.
            SuspicionCause::Reported => self.answered_at,
        };
        let is_alive = heard_at.is_some_and(|heard_at| heard_at >= asked_at);
        if is_alive {
            return false;
        }
        if self.is_suspected(now) {
            // It is silent itself, so that its next report shows that the silence is over.
            if cause == SuspicionCause::NoReport {
                self.suspicion = Some(cause);
            }
            return false;
        }
        self.suspected_until = self.count_failure(now);
        self.suspicion = Some(cause);
        self.silent_since.get_or_insert(now);
        true
    }

    /// Records a sign of life; returns whether it ends an avoidance.
    pub fn record_sign(&mut self, sign: LifeSign, now: MilliTime) -> bool {
        let is_over = match sign {
            LifeSign::Report => {
                self.reported_at = Some(now);
                self.suspicion == Some(SuspicionCause::NoReport)
            }
            LifeSign::Answer | LifeSign::StalledAnswer => {
                self.answered_at = Some(now);
                true
            }
        };
        let mut ended = false;
        if is_over {
            self.silent_since = None;
        }
        if is_over && self.is_suspected(now) {
            self.suspected_until = now;
            self.failures = self.failures.saturating_sub(1);
            ended = true;
        }
        if sign == LifeSign::StalledAnswer && self.stalled_until > now {
            self.stalled_until = now;
            self.failures = self.failures.saturating_sub(1);
            ended = true;
        }
        ended
    }

    /// Records that the engine turned a request of `tokens` of context away as full.
    ///
    /// An engine without room for a new request has none for a resumed one either. It may refuse a resumed one,
    /// whose earlier answer it has to read again, and take a new one.
    pub fn record_refusal(&mut self, tokens: f64, is_resumed: bool, now: MilliTime) {
        let refused = match is_resumed {
            true => &mut self.refused_resumed,
            false => &mut self.refused_new,
        };
        refused.record(tokens, AVOID_MS, MAX_AVOID_MS, now);
    }

    /// Returns whether the engine has lately turned away a request that needs at most as much as one of `tokens`.
    pub fn is_full_for(&self, tokens: f64, is_resumed: bool, now: MilliTime) -> bool {
        self.refused_new.covers(tokens, now)
            || is_resumed && self.refused_resumed.covers(tokens, now)
    }

    /// Records that the engine has taken a request of `tokens` of context.
    pub fn record_taken(&mut self, tokens: f64, is_resumed: bool) {
        self.refused_new.record_taken(tokens);
        if is_resumed {
            self.refused_resumed.record_taken(tokens);
        }
    }

    /// Resets the count of failures after a success.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.silent_since = None;
    }

    /// Counts a failure; returns the end of the avoidance that follows from it.
    fn count_failure(&mut self, now: MilliTime) -> MilliTime {
        self.failures += 1;
        let avoid_ms = AVOID_MS.saturating_mul(u64::from(self.failures));
        now.plus(avoid_ms.min(MAX_AVOID_MS))
    }
}
