use crate::relay::ModelShape;
use crate::time::MilliTime;

/// The share of the rate between availability zones that chains may use.
///
/// Transfers go one after another; above half of the rate they wait for each other for longer than
/// an event may be late.
const PIPE_SHARE: f64 = 0.5;

/// How long unused rate is saved up, in milliseconds.
const SAVED_MS: f64 = 1_000.0;

/// The rate at which one process may send requests over chains that cross availability zones.
///
/// A prompt of 800 tokens takes 16 ms of a pipe of 18 Gbit/s and 65 ms of one of 4.4 Gbit/s, and all
/// processes share the pipe. Without a limit, the loss of one engine turned all requests of its zone
/// to such chains, which then served none of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrossingBudget {
    tokens: f64,
    filled: MilliTime,
}

impl CrossingBudget {
    /// Creates an empty budget.
    pub fn new() -> CrossingBudget {
        CrossingBudget::default()
    }

    /// Returns whether some tokens may cross; `processes` share the rate.
    pub fn allows_crossing(&mut self, shape: &ModelShape, processes: u32, now: MilliTime) -> bool {
        let per_ms =
            shape.link_tokens_per_second() * PIPE_SHARE / 1_000.0 / f64::from(processes.max(1));
        let elapsed = now.since(self.filled) as f64;
        self.filled = now;
        self.tokens = (self.tokens + per_ms * elapsed).min(per_ms * SAVED_MS);
        self.tokens > 0.0
    }

    /// Takes the tokens of a request for each of its crossings.
    pub fn spend(&mut self, tokens: f64, crossings: usize) {
        self.tokens -= tokens * crossings as f64;
    }
}
