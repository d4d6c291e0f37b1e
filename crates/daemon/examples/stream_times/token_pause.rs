use std::time::Duration;

use tokio::time::Instant;

/// The longest pause between tokens since a fault.
///
/// Tokens that were on their way when the fault happened arrive right after it; the pause that the
/// fault causes is the longest one.
pub(crate) struct TokenPause {
    fault: Instant,
    last: Instant,
    longest: Duration,
    end: Duration,
}

impl TokenPause {
    pub(crate) fn start() -> TokenPause {
        let now = Instant::now();
        TokenPause {
            fault: now,
            last: now,
            longest: Duration::ZERO,
            end: Duration::ZERO,
        }
    }

    pub(crate) fn note(&mut self) {
        let now = Instant::now();
        if now - self.last > self.longest {
            self.longest = now - self.last;
            self.end = now - self.fault;
        }
        self.last = now;
    }

    /// Returns the time from the fault to the end of the longest pause.
    pub(crate) fn end(&self) -> Duration {
        self.end
    }
}
