use crate::time::MilliTime;

use super::RetryBudget;

/// The parts into which the window is divided for counting requests.
const SLOTS: u64 = 20;

/// The part of what the requests allow that is given as they come, in percent; the rest may be saved up.
///
/// Engines that fail for long take the first part, one that crashes with many requests the second one.
const STEADY_PERCENT: u64 = 70;

/// How long a number of processes counts after it has fallen, in milliseconds.
///
/// Processes that are out of sight may still use their share; those that were replaced are back within
/// seconds.
const SHARERS_MS: u64 = 60_000;

/// A limit of retries, which several processes share, within a window of time that slides.
///
/// The load that it answers: an engine that crashes breaks off all its requests at once, at the few
/// processes that send to it. With its part of the shared slack alone, such a process has a few retries
/// saved up while the window allows several times as many; so a part of what the requests of a window allow is
/// saved up as well. Within any window the saved ones and those that are given meanwhile are no more than
/// allowed, also if a process is started anew, because it starts without any.
///
/// # Example
///
/// ```
/// use dandelionroad_core::admit::RetryWindow;
/// use dandelionroad_core::time::MilliTime;
///
/// let mut window = RetryWindow::new(20, 8, 10_000, 4, MilliTime::from_millis(0));
/// let now = MilliTime::from_millis(5_000);
/// assert!(!window.try_retry(now), "nothing is saved up at the start");
/// for _ in 0..100 {
///     window.request(now);
/// }
/// // Two of the slack, and most of three in ten of the 20 that 100 requests allow.
/// assert_eq!((0..20).filter(|_| window.try_retry(now)).count(), 7);
/// ```
#[derive(Clone, Debug)]
pub struct RetryWindow {
    budget: RetryBudget,
    percent: u32,
    slack: u32,
    window_ms: u64,
    /// The numbers of processes that count, each with when it was last the number.
    sharers: Vec<(u32, MilliTime)>,
    /// The requests of each part of the window, in order of the parts' numbers.
    requests: Vec<(u64, u64)>,
}

impl RetryWindow {
    /// Creates a window of `window_ms` in which retries are limited to `percent` of the requests and an
    /// equal part of `slack` for each of `sharers` processes.
    pub fn new(
        percent: u32,
        slack: u32,
        window_ms: u64,
        sharers: u32,
        started: MilliTime,
    ) -> RetryWindow {
        RetryWindow {
            budget: RetryBudget::empty(steady_percent(percent), 0),
            percent,
            slack,
            window_ms: window_ms.max(SLOTS),
            sharers: vec![(sharers, started)],
            requests: Vec::new(),
        }
    }

    /// Takes limits that have changed.
    pub fn set_limits(&mut self, percent: u32, slack: u32, window_ms: u64) {
        if window_ms != self.window_ms {
            // The parts have another length.
            self.requests.clear();
        }
        self.percent = percent;
        self.slack = slack;
        self.window_ms = window_ms.max(SLOTS);
        self.budget.set_percent(steady_percent(percent));
    }

    /// Takes the number of processes among which the slack is divided.
    pub fn set_sharers(&mut self, sharers: u32, now: MilliTime) {
        self.sharers
            .retain(|(_, last)| now.since(*last) < SHARERS_MS);
        match self.sharers.iter_mut().find(|(known, _)| *known == sharers) {
            Some((_, last)) => *last = now,
            None => self.sharers.push((sharers, now)),
        }
    }

    /// Counts a first attempt.
    pub fn request(&mut self, now: MilliTime) {
        let number = now.as_millis() / (self.window_ms / SLOTS);
        match self.requests.last_mut() {
            Some((last, count)) if *last == number => *count += 1,
            _ => {
                self.requests.push((number, 1));
                self.requests.retain(|(known, _)| known + SLOTS > number);
            }
        }
        self.budget.set_burst(self.most_saved(now));
        self.budget.request();
    }

    /// Takes a retry; returns false when none is left.
    pub fn try_retry(&mut self, now: MilliTime) -> bool {
        self.budget.set_burst(self.most_saved(now));
        self.budget.try_retry()
    }

    /// Returns how many retries may be saved up.
    fn most_saved(&self, now: MilliTime) -> u32 {
        let number = now.as_millis() / (self.window_ms / SLOTS);
        let within = self.requests.iter().filter(|slot| slot.0 + SLOTS > number);
        let requests: u64 = within.map(|slot| slot.1).sum();
        let saved_percent = self.percent - steady_percent(self.percent);
        let most = self.sharers.iter().map(|(sharers, _)| *sharers).max();
        let own_slack = self.slack / most.unwrap_or(1).max(1);
        own_slack + (requests * u64::from(saved_percent) / 100) as u32
    }
}

fn steady_percent(percent: u32) -> u32 {
    (u64::from(percent) * STEADY_PERCENT / 100) as u32
}
