use crate::ident::EndpointName;
use crate::time::MilliTime;

use super::LoadReport;

/// The half-life of a load report's weight, in milliseconds.
///
/// A request runs for one to a few seconds, so an older report says little about the current load.
const REPORT_HALF_LIFE_MS: f64 = 1_000.0;

/// The load of an endpoint as known to one entry.
///
/// The entry's own outstanding work is exact. The work of other entries is known only from the last
/// load report, whose weight decays exponentially with its age.
#[derive(Clone, Debug)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The configured rate in work units per second.
    pub units_per_second: u64,
    /// The outstanding work that this entry has sent, in work units.
    own_units: u64,
    /// The work of other entries at the last report, in work units.
    other_units: u64,
    reported_units_per_second: u64,
    reported_at: Option<MilliTime>,
    avoid_until: MilliTime,
}

impl EndpointLoad {
    /// Creates the record of an endpoint without load.
    pub fn new(endpoint: EndpointName, units_per_second: u64) -> EndpointLoad {
        EndpointLoad {
            endpoint,
            units_per_second,
            own_units: 0,
            other_units: 0,
            reported_units_per_second: 0,
            reported_at: None,
            avoid_until: MilliTime::default(),
        }
    }

    /// Returns the record with a new configured rate in work units per second.
    pub fn with_rate(mut self, units_per_second: u64) -> EndpointLoad {
        self.units_per_second = units_per_second;
        self
    }

    /// Adds work that this entry sends to the endpoint.
    pub fn add_work(&mut self, units: u64) {
        self.own_units += units;
    }

    /// Removes work that was sent by this entry and has ended.
    pub fn remove_work(&mut self, units: u64) {
        self.own_units = self.own_units.saturating_sub(units);
    }

    /// Records a load report received at `now`.
    pub fn record_report(&mut self, report: &LoadReport, now: MilliTime) {
        let reported = report.queued_units + report.running_units;
        self.other_units = reported.saturating_sub(self.own_units);
        self.reported_units_per_second = report.units_per_second;
        self.reported_at = Some(now);
    }

    /// Marks the endpoint as avoided until `until`; it is then used only as a last resort.
    pub fn avoid(&mut self, until: MilliTime) {
        self.avoid_until = self.avoid_until.max(until);
    }

    /// Returns whether the endpoint is marked as avoided at `now`.
    pub fn is_avoided(&self, now: MilliTime) -> bool {
        now < self.avoid_until
    }

    /// Returns the estimated outstanding work at the endpoint, in work units.
    pub fn outstanding_units(&self, now: MilliTime) -> f64 {
        let age = self.reported_at.map_or(0, |at| now.since(at));
        let discount = (-(age as f64) / REPORT_HALF_LIFE_MS).exp2();
        self.own_units as f64 + self.other_units as f64 * discount
    }

    /// Returns the estimated time to complete the outstanding work and `units` more, in
    /// milliseconds.
    ///
    /// The rate is the configured one, or the last reported one if that is lower.
    pub fn completion_ms(&self, units: u64, now: MilliTime) -> f64 {
        let rate = match self.reported_units_per_second {
            0 => self.units_per_second,
            reported => reported.min(self.units_per_second),
        };
        (self.outstanding_units(now) + units as f64) * 1_000.0 / rate.max(1) as f64
    }
}
