use std::time::Duration;

use tokio::time::Instant;

/// The pause between tokens that a fault causes.
///
/// Tokens that were on their way when the fault happened arrive right after it. The pause of the
/// fault is the first one that is at least half as long as the longest.
pub(crate) struct TokenPause {
    fault: Instant,
    arrivals: Vec<Duration>,
}

impl TokenPause {
    pub(crate) fn start() -> TokenPause {
        TokenPause {
            fault: Instant::now(),
            arrivals: Vec::new(),
        }
    }

    pub(crate) fn note(&mut self) {
        self.arrivals.push(self.fault.elapsed());
    }

    /// Returns the time from the fault to the end of its pause.
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
