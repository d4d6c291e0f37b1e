use std::time::Duration;

use tokio::time::Instant;

/// Measures the pause between tokens that a fault causes.
///
/// Tokens in flight at the time of the fault arrive shortly after it. The pause that the fault
/// causes is therefore the first one that is at least half as long as the longest.
pub(crate) struct TokenPause {
    fault: Instant,
    arrivals: Vec<Duration>,
}

impl TokenPause {
    /// Starts the measurement at the time of the fault.
    pub(crate) fn start() -> TokenPause {
        TokenPause {
            fault: Instant::now(),
            arrivals: Vec::new(),
        }
    }

    /// Records the arrival of a token.
    pub(crate) fn record(&mut self) {
        self.arrivals.push(self.fault.elapsed());
    }

    /// Returns the time from the fault to the end of the pause that it causes.
    pub(crate) fn end(&self) -> Duration {
        let before = [Duration::ZERO].into_iter().chain(self.arrivals.clone());
        let pauses: Vec<Duration> = self
            .arrivals
            .iter()
            .zip(before)
            .map(|(arrival, before)| *arrival - before)
            .collect();
        let longest = pauses.iter().max().copied().unwrap_or_default();
        let first = pauses.iter().position(|pause| *pause * 2 >= longest);
        first.map_or(Duration::ZERO, |index| self.arrivals[index])
    }
}
