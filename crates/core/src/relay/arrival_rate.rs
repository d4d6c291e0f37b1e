use crate::time::MilliTime;

/// The time constant of the moving average, in milliseconds.
///
/// It spans several bursts of a few requests and still follows a surge within a few seconds.
const TIME_CONSTANT_MS: f64 = 2_000.0;

/// The minimum time that the average covers, in milliseconds; it bounds the rate after the first arrivals.
const MIN_SPAN_MS: f64 = 100.0;

/// The moving average of the work that arrives, in tokens per millisecond.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::ArrivalRate;
/// use dandelionroad_core::time::MilliTime;
///
/// let mut rate = ArrivalRate::default();
/// for step in 0..50 {
///     rate.record(800.0, MilliTime::from_millis(step * 100));
/// }
/// let now = MilliTime::from_millis(5_000);
/// assert!((7.0..9.0).contains(&rate.per_ms(now)));
/// assert!(rate.per_ms(now.plus(20_000)) < 0.1);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    /// The sum of the arrived tokens, each discounted by its age.
    tokens: f64,
    updated: MilliTime,
    /// The time of the first arrival.
    started: Option<MilliTime>,
}

impl ArrivalRate {
    /// Records the arrival of a request of `tokens` tokens.
    pub fn record(&mut self, tokens: f64, now: MilliTime) {
        self.tokens = self.discounted(now) + tokens;
        self.updated = now;
        self.started.get_or_insert(now);
    }

    /// Returns the rate, in tokens per millisecond.
    ///
    /// Shortly after the first arrival it is the mean since then.
    pub fn per_ms(&self, now: MilliTime) -> f64 {
        let Some(started) = self.started else {
            return 0.0;
        };
        let elapsed_ms = (now.since(started) as f64).max(MIN_SPAN_MS);
        let span_ms = TIME_CONSTANT_MS * (1.0 - (-elapsed_ms / TIME_CONSTANT_MS).exp());
        self.discounted(now) / span_ms
    }

    fn discounted(&self, now: MilliTime) -> f64 {
        self.tokens * (-(now.since(self.updated) as f64) / TIME_CONSTANT_MS).exp()
    }
}
