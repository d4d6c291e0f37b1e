use crate::time::MilliTime;

/// The weight of a new observation in the moving average.
///
/// With this weight, the average follows a load change within about ten completions.
const OBSERVATION_WEIGHT: f64 = 0.125;

/// The factor applied to the expected service time of a single item, in percent.
///
/// At 100, 92 to 98 % of the started requests met their deadline in simulated load peaks; at 150, more
/// than 99 %.
const SERVICE_MARGIN_PERCENT: f64 = 150.0;

/// A moving average of the time from start to completion per work unit of the items on an endpoint.
///
/// Unlike the configured rate, observed service times include the effect of other running items and
/// of the later stages of a route.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceEstimate {
    ms_per_unit: f64,
    is_observed: bool,
}

impl ServiceEstimate {
    /// Creates an estimate from the configured rate, assuming that all slots are in use.
    pub(super) fn new(concurrency: u32, units_per_second: u64) -> ServiceEstimate {
        ServiceEstimate {
            ms_per_unit: f64::from(concurrency) * 1_000.0 / units_per_second as f64,
            is_observed: false,
        }
    }

    /// Adds the service time of a completed item of `units` to the average.
    pub(super) fn observe(&mut self, units: u64, started: MilliTime, now: MilliTime) {
        self.is_observed = true;
        let observed = now.since(started) as f64 / units.max(1) as f64;
        self.ms_per_unit += (observed - self.ms_per_unit) * OBSERVATION_WEIGHT;
    }

    /// Returns whether a completed item was observed.
    pub(super) fn is_observed(&self) -> bool {
        self.is_observed
    }

    /// Returns the expected service time of an item of `units` with the margin, in milliseconds.
    pub(super) fn service_ms(&self, units: u64) -> u64 {
        (units as f64 * self.ms_per_unit * SERVICE_MARGIN_PERCENT / 100.0).ceil() as u64
    }

    /// Returns the time in which `concurrency` slots process `units`, in milliseconds.
    pub(super) fn drain_ms(&self, units: u64, concurrency: u32) -> u64 {
        (units as f64 * self.ms_per_unit / f64::from(concurrency)).ceil() as u64
    }

    /// Returns the throughput of `concurrency` slots, in work units per second.
    pub(super) fn units_per_second(&self, concurrency: u32) -> u64 {
        (f64::from(concurrency) * 1_000.0 / self.ms_per_unit.max(1e-6)) as u64
    }
}
