use crate::ident::EndpointName;
use crate::time::MilliTime;

use super::LoadReport;

/// The age at which a load report counts half, in milliseconds.
///
/// Requests last one to a few seconds, so that an older report says little about the present load.
const REPORT_HALF_AGE_MS: f64 = 1_000.0;

/// What one entry knows about the load of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The configured rate in work units per second.
    pub units_per_second: u64,
    /// The work that this entry has sent and that has not ended, in work units.
    own_units: u64,
    /// The work of others at the last report, in work units.
    other_units: u64,
    reported_units_per_second: u64,
    reported_at: Option<MilliTime>,
    avoid_until: MilliTime,
}

impl EndpointLoad {
    /// Creates the state of an endpoint without load.
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

    /// Returns the state with another configured rate in work units per second.
    pub fn with_rate(mut self, units_per_second: u64) -> EndpointLoad {
        self.units_per_second = units_per_second;
        self
    }

    /// Adds work that this entry sends.
    pub fn add_work(&mut self, units: u64) {
        self.own_units += units;
    }

    /// Removes work that has ended.
    pub fn remove_work(&mut self, units: u64) {
        self.own_units = self.own_units.saturating_sub(units);
    }

    /// Takes the load that the endpoint reported at `now`.
    pub fn record_report(&mut self, report: &LoadReport, now: MilliTime) {
        let reported = report.queued_units + report.running_units;
        self.other_units = reported.saturating_sub(self.own_units);
        self.reported_units_per_second = report.units_per_second;
        self.reported_at = Some(now);
    }

    /// Avoids the endpoint until `until` where there is another choice.
    pub fn avoid(&mut self, until: MilliTime) {
        self.avoid_until = self.avoid_until.max(until);
    }

    /// Returns whether the endpoint is to be avoided at `now`.
    pub fn is_avoided(&self, now: MilliTime) -> bool {
        now < self.avoid_until
    }

    /// Returns the work at the endpoint as estimated for `now`, in work units.
    pub fn outstanding_units(&self, now: MilliTime) -> f64 {
        let age = self.reported_at.map_or(0, |at| now.since(at));
        let discount = (-(age as f64) / REPORT_HALF_AGE_MS).exp2();
        self.own_units as f64 + self.other_units as f64 * discount
    }

    /// Returns the time in which the endpoint completes its work and `units` more, in milliseconds.
    pub fn completion_ms(&self, units: u64, now: MilliTime) -> f64 {
        let rate = match self.reported_units_per_second {
            0 => self.units_per_second,
            reported => reported.min(self.units_per_second),
        };
        (self.outstanding_units(now) + units as f64) * 1_000.0 / rate.max(1) as f64
    }
}
