use crate::time::MilliTime;

/// The weight of a new observation in the moving average.
///
/// An eighth follows a change of the load within about ten completions.
const OBSERVATION_WEIGHT: f64 = 0.125;

/// The margin on the time of a single item, in percent.
///
/// Without it, 92 to 98 in 100 of the started requests of the simulated peaks were in time, with it
/// more than 99.
const SERVICE_MARGIN_PERCENT: f64 = 150.0;

/// An estimate of how fast the running items of an endpoint progress.
///
/// The pace is the time that one item takes for one work unit. It includes the effect of the other
/// running items and of the later stages of a route, which the configured rate does not.
#[derive(Clone, Copy, Debug)]
pub(super) struct PaceEstimate {
    ms_per_unit: f64,
    is_observed: bool,
}

impl PaceEstimate {
    /// Starts with the pace of an endpoint whose slots are all taken.
    pub(super) fn new(concurrency: u32, units_per_second: u64) -> PaceEstimate {
        PaceEstimate {
            ms_per_unit: f64::from(concurrency) * 1_000.0 / units_per_second as f64,
            is_observed: false,
        }
    }

    /// Takes the time in which an item of `units` was completed.
    pub(super) fn observe(&mut self, units: u64, started: MilliTime, now: MilliTime) {
        self.is_observed = true;
        let observed = now.since(started) as f64 / units.max(1) as f64;
        self.ms_per_unit += (observed - self.ms_per_unit) * OBSERVATION_WEIGHT;
    }

    /// Returns whether any item was completed.
    pub(super) fn is_observed(&self) -> bool {
        self.is_observed
    }

    /// Returns the time that an item of `units` takes once started, in milliseconds, with a margin.
    pub(super) fn service_ms(&self, units: u64) -> u64 {
        (units as f64 * self.ms_per_unit * SERVICE_MARGIN_PERCENT / 100.0).ceil() as u64
    }

    /// Returns the time in which `concurrency` slots complete `units`, in milliseconds.
    pub(super) fn drain_ms(&self, units: u64, concurrency: u32) -> u64 {
        (units as f64 * self.ms_per_unit / f64::from(concurrency)).ceil() as u64
    }

    /// Returns the rate of `concurrency` slots, in work units per second.
    pub(super) fn units_per_second(&self, concurrency: u32) -> u64 {
        (f64::from(concurrency) * 1_000.0 / self.ms_per_unit.max(1e-6)) as u64
    }
}
