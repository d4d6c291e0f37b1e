use crate::relay::ModelShape;
use crate::time::MilliTime;

/// The share of the link rate between availability zones that chains may use.
///
/// The link sends one transfer after another. At more than half of its rate, transfers wait for each
/// other longer than the allowed delay of an event.
const LINK_SHARE: f64 = 0.5;

/// The time over which unused rate accumulates, in milliseconds.
const BURST_MS: f64 = 1_000.0;

/// A token bucket for the requests that one process sends over chains across availability zones.
///
/// A prompt of 800 tokens occupies a link of 18 Gbit/s for 16 ms and one of 4.4 Gbit/s for 65 ms, and
/// all processes share the link. Without a limit, the loss of one engine diverted all requests of its
/// zone to such chains, which then served none of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrossingBudget {
    /// The available tokens of context; negative after a request that exceeds them.
    tokens: f64,
    /// The time of the last refill.
    refilled_at: MilliTime,
}

impl CrossingBudget {
    /// Creates an empty budget.
    pub fn new() -> CrossingBudget {
        CrossingBudget::default()
    }

    /// Refills the budget and returns whether a request may cross; `processes` share the rate.
    pub fn allows_crossing(&mut self, shape: &ModelShape, processes: u32, now: MilliTime) -> bool {
        let per_ms =
            shape.link_tokens_per_second() * LINK_SHARE / 1_000.0 / f64::from(processes.max(1));
        let elapsed = now.since(self.refilled_at) as f64;
        self.refilled_at = now;
        self.tokens = (self.tokens + per_ms * elapsed).min(per_ms * BURST_MS);
        self.tokens > 0.0
    }

    /// Charges the tokens of a request for each of its crossings.
    pub fn spend(&mut self, tokens: f64, crossings: usize) {
        self.tokens -= tokens * crossings as f64;
    }
}
