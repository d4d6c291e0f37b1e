/// The first pause, in milliseconds.
const MIN_PAUSE_MS: u64 = 100;

/// The maximum pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 10_000;

/// The time for which a task must have run for its next pause to be the first one again, in milliseconds.
const STABLE_MS: u64 = 60_000;

/// The growing pauses after which a task that fails is started again.
///
/// # Example
///
/// ```
/// use dandelionroad_core::time::RestartPause;
///
/// let mut pause = RestartPause::new();
/// assert_eq!([pause.next_ms(5), pause.next_ms(5), pause.next_ms(5)], [100, 200, 400]);
/// // The task ran for two minutes.
/// assert_eq!(pause.next_ms(120_000), 100);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RestartPause {
    next_ms: u64,
}

impl RestartPause {
    /// Creates the pauses of a task that has not failed.
    pub fn new() -> RestartPause {
        RestartPause {
            next_ms: MIN_PAUSE_MS,
        }
    }

    /// Returns the pause after a failure of the task, which ran for `ran_ms`, in milliseconds.
    pub fn next_ms(&mut self, ran_ms: u64) -> u64 {
        if ran_ms >= STABLE_MS {
            self.next_ms = MIN_PAUSE_MS;
        }
        let pause_ms = self.next_ms;
        self.next_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
        pause_ms
    }
}

impl Default for RestartPause {
    fn default() -> RestartPause {
        RestartPause::new()
    }
}
