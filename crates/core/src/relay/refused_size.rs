use crate::time::MilliTime;

/// The smallest request that an engine has lately turned away as full.
///
/// A refusal says something about requests that need as much memory, and nothing about smaller ones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RefusedSize {
    /// The context of the request, in tokens.
    tokens: f64,
    until: MilliTime,
    /// The number of refusals in a row.
    count: u32,
}

impl RefusedSize {
    /// Records a refusal, which counts for `base_ms` times the number of refusals in a row, at most `max_ms`.
    pub(super) fn record(&mut self, tokens: f64, base_ms: u64, max_ms: u64, now: MilliTime) {
        // A refusal of a smaller request, or after a long time, is the first of its kind.
        if tokens < self.tokens || now > self.until.plus(max_ms) {
            self.count = 0;
        }
        self.tokens = match self.until > now {
            true => self.tokens.min(tokens),
            false => tokens,
        };
        self.count += 1;
        let length_ms = base_ms.saturating_mul(u64::from(self.count)).min(max_ms);
        self.until = now.plus(length_ms);
    }

    /// Returns whether the refusal counts against a request of `tokens`.
    pub(super) fn covers(&self, tokens: f64, now: MilliTime) -> bool {
        self.until > now && tokens >= self.tokens
    }

    /// Records that a request of `tokens` was taken.
    pub(super) fn record_taken(&mut self, tokens: f64) {
        if tokens >= self.tokens {
            *self = RefusedSize::default();
        }
    }
}
