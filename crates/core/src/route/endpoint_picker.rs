use crate::ident::EndpointName;
use crate::time::MilliTime;

use super::EndpointLoad;
use super::LoadReport;

/// Compares endpoints by their expected completion time, from the load known to one entry.
///
/// # Example
///
/// ```
/// use dandelionroad_core::ident::EndpointName;
/// use dandelionroad_core::route::EndpointPicker;
/// use dandelionroad_core::time::MilliTime;
///
/// let [fast, slow] = ["fast", "slow"].map(|name| EndpointName::parse(name).unwrap());
/// let mut picker = EndpointPicker::new();
/// picker.set_endpoints([(fast.clone(), 800), (slow.clone(), 100)]);
/// picker.add_work(&fast, 400);
/// let now = MilliTime::from_millis(0);
/// assert_eq!(picker.pick_faster(&fast, &slow, 80, now), &fast);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointPicker {
    /// Sorted by endpoint.
    loads: Vec<EndpointLoad>,
}

impl EndpointPicker {
    /// Creates a picker without endpoints.
    pub fn new() -> EndpointPicker {
        EndpointPicker::default()
    }

    /// Replaces the set of endpoints and their rates in work units per second.
    ///
    /// Endpoints that remain keep their load. Of duplicate endpoints only the first counts.
    pub fn set_endpoints(&mut self, endpoints: impl IntoIterator<Item = (EndpointName, u64)>) {
        let mut loads: Vec<EndpointLoad> = endpoints
            .into_iter()
            .map(|(endpoint, rate)| match self.get(&endpoint) {
                Some(known) => known.clone().with_rate(rate),
                None => EndpointLoad::new(endpoint, rate),
            })
            .collect();
        loads.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
        loads.dedup_by(|left, right| left.endpoint == right.endpoint);
        self.loads = loads;
    }

    /// Returns the load of `endpoint`, or `None` if it is not in the set.
    pub fn get(&self, endpoint: &EndpointName) -> Option<&EndpointLoad> {
        let index = self.index(endpoint)?;
        Some(&self.loads[index])
    }

    /// Adds work that this entry sends to `endpoint`.
    pub fn add_work(&mut self, endpoint: &EndpointName, units: u64) {
        if let Some(load) = self.get_mut(endpoint) {
            load.add_work(units);
        }
    }

    /// Removes work that this entry sent to `endpoint` and that has ended.
    pub fn remove_work(&mut self, endpoint: &EndpointName, units: u64) {
        if let Some(load) = self.get_mut(endpoint) {
            load.remove_work(units);
        }
    }

    /// Records a load report of `endpoint`, received at `now`.
    pub fn record_report(&mut self, endpoint: &EndpointName, report: &LoadReport, now: MilliTime) {
        if let Some(load) = self.get_mut(endpoint) {
            load.record_report(report, now);
        }
    }

    /// Marks `endpoint` as avoided until `until`; it is then used only as a last resort.
    pub fn avoid(&mut self, endpoint: &EndpointName, until: MilliTime) {
        if let Some(load) = self.get_mut(endpoint) {
            load.avoid(until);
        }
    }

    /// Returns the sort key of `endpoint` for `units` of work, lower is better.
    ///
    /// The key is whether the endpoint is avoided, then the expected completion time in
    /// milliseconds. An unknown endpoint sorts last.
    pub fn rank(&self, endpoint: &EndpointName, units: u64, now: MilliTime) -> (bool, f64) {
        match self.get(endpoint) {
            Some(load) => (load.is_avoided(now), load.completion_ms(units, now)),
            None => (true, f64::INFINITY),
        }
    }

    /// Returns the endpoint of lower rank for `units` of work, or `left` if both rank the same.
    pub fn pick_faster<'a>(
        &self,
        left: &'a EndpointName,
        right: &'a EndpointName,
        units: u64,
        now: MilliTime,
    ) -> &'a EndpointName {
        if self.rank(right, units, now) < self.rank(left, units, now) {
            right
        } else {
            left
        }
    }

    fn index(&self, endpoint: &EndpointName) -> Option<usize> {
        self.loads
            .binary_search_by(|load| load.endpoint.cmp(endpoint))
            .ok()
    }

    fn get_mut(&mut self, endpoint: &EndpointName) -> Option<&mut EndpointLoad> {
        let index = self.index(endpoint)?;
        Some(&mut self.loads[index])
    }
}
