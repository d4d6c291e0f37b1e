use std::fmt;

/// A sample of times in milliseconds, which yields percentiles.
#[derive(Clone, Debug, Default)]
pub struct TimeSample {
    /// The times in ascending order.
    times: Vec<f64>,
}

impl TimeSample {
    /// Creates a sample of `times` in any order.
    pub fn new(mut times: Vec<f64>) -> TimeSample {
        times.sort_by(f64::total_cmp);
        TimeSample { times }
    }

    /// Returns the nearest-rank percentile, or 0 for an empty sample.
    pub fn percentile(&self, percent: usize) -> f64 {
        let rank = (self.times.len() * percent).div_ceil(100).max(1);
        self.times.get(rank - 1).copied().unwrap_or_default()
    }

    /// Returns the number of times.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Returns whether the sample is empty.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }
}

impl fmt::Display for TimeSample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms, max {:.2} ms ({} times)",
            self.percentile(50),
            self.percentile(95),
            self.percentile(99),
            self.percentile(100),
            self.len(),
        )
    }
}
