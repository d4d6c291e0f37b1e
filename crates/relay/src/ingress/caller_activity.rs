use std::cell::Cell;
use std::rc::Rc;

use dandelionroad_core::relay::CallerLimits;
use dandelionroad_core::time::MilliTime;
use tokio::sync::Notify;

use crate::node::BootClock;

use super::activity_phase::ActivityPhase;

/// Tracks how long a caller's connection has been idle, or has been sending the head of a request.
///
/// The limits are passed in at each check, so that those in force also hold for connections that are open already.
#[derive(Debug)]
pub(super) struct CallerActivity {
    clock: BootClock,
    phase: Cell<ActivityPhase>,
    since: Cell<MilliTime>,
    /// The number of guards of requests.
    guard_count: Cell<usize>,
    /// Notified at the end of each request.
    ended: Notify,
}

impl CallerActivity {
    /// Creates the record of a connection that was just opened.
    pub(super) fn new(clock: BootClock) -> Rc<CallerActivity> {
        Rc::new(CallerActivity {
            clock,
            phase: Cell::new(ActivityPhase::Idle),
            since: Cell::new(clock.now()),
            guard_count: Cell::new(0),
            ended: Notify::new(),
        })
    }

    /// Returns the present phase.
    pub(super) fn phase(&self) -> ActivityPhase {
        self.phase.get()
    }

    /// Returns the time at which the connection is closed if its phase lasts until then; `None` during a request.
    pub(super) fn close_time(&self, limits: &CallerLimits) -> Option<MilliTime> {
        let limit_ms = match self.phase.get() {
            ActivityPhase::Idle => limits.idle_timeout_ms,
            ActivityPhase::Head => limits.header_timeout_ms,
            ActivityPhase::Request => return None,
        };
        Some(self.since.get().plus(limit_ms))
    }

    /// Records that bytes were received.
    pub(super) fn record_read(&self) {
        // Later bytes of a head don't extend its time.
        if self.phase.get() == ActivityPhase::Idle {
            self.enter(ActivityPhase::Head);
        }
    }

    /// Records that bytes were sent.
    pub(super) fn record_write(&self) {
        // The rest of a response may be sent after its body has ended.
        if self.phase.get() == ActivityPhase::Idle {
            self.enter(ActivityPhase::Idle);
        }
    }

    /// Records that a guard of a request is created.
    pub(super) fn begin_request(&self) {
        self.guard_count.set(self.guard_count.get() + 1);
        self.enter(ActivityPhase::Request);
    }

    /// Records that a guard is dropped; the connection is idle after the last one.
    pub(super) fn end_request(&self) {
        let count = self.guard_count.get() - 1;
        self.guard_count.set(count);
        if count == 0 {
            self.enter(ActivityPhase::Idle);
            self.ended.notify_one();
        }
    }

    /// Waits for the end of a request after which none has been received.
    pub(super) async fn wait_idle(&self) {
        loop {
            self.ended.notified().await;
            if self.phase.get() == ActivityPhase::Idle {
                return;
            }
        }
    }

    /// Records that a phase begins.
    fn enter(&self, phase: ActivityPhase) {
        self.phase.set(phase);
        self.since.set(self.clock.now());
    }
}
