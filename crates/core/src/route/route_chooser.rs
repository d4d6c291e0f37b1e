use crate::ident::EndpointName;
use crate::stream::LayerRange;
use crate::time::MilliTime;

use super::EndpointClass;
use super::EndpointPicker;
use super::FlowPath;
use super::RoutePlan;
use super::seeded_hash::mix_seed;

/// The number of paths drawn for a request; the path whose slowest stage has the lowest completion
/// time is chosen.
const PATH_DRAWS: u64 = 2;

/// The penalty on the completion time of an avoided endpoint, in milliseconds; far above any real
/// completion time.
const AVOIDED_PENALTY_MS: f64 = 1e12;

/// Chooses the route of a request from a plan and the current loads.
///
/// Paths are drawn in proportion to their flow. For each stage, the less loaded of two endpoints is
/// used (power of two choices).
#[derive(Clone, Copy, Debug)]
pub struct RouteChooser<'a> {
    /// The plan whose paths are drawn.
    pub plan: &'a RoutePlan,
    /// The loads of the endpoints.
    pub picker: &'a EndpointPicker,
    /// The endpoints that must not be used, for example because this request failed on them.
    pub excluded: &'a [EndpointName],
    /// The current time.
    pub now: MilliTime,
}

impl RouteChooser<'_> {
    /// Chooses the endpoints and ranges of a route for `units` of work.
    ///
    /// Returns `None` if every path needs an excluded endpoint.
    pub fn choose(&self, units: u64, seed: u64) -> Option<Vec<(EndpointName, LayerRange)>> {
        let candidates = (0..PATH_DRAWS).filter_map(|draw| {
            let hash = mix_seed(seed.wrapping_add(draw));
            self.assign_endpoints(self.plan.draw(hash)?, units, hash)
        });
        let slowest_ms = |route: &Vec<(EndpointName, LayerRange)>| {
            let costs = route
                .iter()
                .map(|(endpoint, _)| self.cost_ms(endpoint, units));
            costs.fold(0.0, f64::max)
        };
        let best = candidates.min_by(|left, right| slowest_ms(left).total_cmp(&slowest_ms(right)));
        if best
            .as_ref()
            .is_some_and(|route| slowest_ms(route) < AVOIDED_PENALTY_MS)
        {
            return best;
        }
        // Every drawn path contains an excluded or avoided endpoint, so all paths are compared.
        let paths = self.plan.paths().iter();
        paths
            .filter_map(|path| self.assign_endpoints(path, units, seed))
            .min_by(|left, right| slowest_ms(left).total_cmp(&slowest_ms(right)))
    }

    /// Chooses replacements for a stage of `range`: one endpoint if possible, else a chain of
    /// several.
    ///
    /// Returns `None` if the endpoints that are not excluded don't cover the range.
    pub fn choose_replacement(
        &self,
        range: LayerRange,
        units: u64,
    ) -> Option<Vec<(EndpointName, LayerRange)>> {
        let mut stages = Vec::new();
        let mut first = range.first;
        while first < range.end {
            let (end, endpoint) = self
                .plan
                .classes()
                .iter()
                .filter(|class| class.range.first <= first && first < class.range.end)
                .filter_map(|class| {
                    let endpoint = self.best_member(class, units)?;
                    Some((class.range.end.min(range.end), endpoint))
                })
                .min_by(|left, right| {
                    let costs = [left, right].map(|(_, name)| self.cost_ms(name, units));
                    (right.0.cmp(&left.0)).then(costs[0].total_cmp(&costs[1]))
                })?;
            stages.push((endpoint.clone(), LayerRange::new(first, end)));
            first = end;
        }
        Some(stages)
    }

    /// Picks an endpoint for each stage of a path.
    fn assign_endpoints(
        &self,
        path: &FlowPath,
        units: u64,
        seed: u64,
    ) -> Option<Vec<(EndpointName, LayerRange)>> {
        let mut first = 0;
        let mut stages = Vec::with_capacity(path.classes.len());
        for (stage, index) in path.classes.iter().enumerate() {
            let class = &self.plan.classes()[*index];
            let endpoint = self.pick_member(class, units, seed.wrapping_add(stage as u64 + 1))?;
            stages.push((endpoint.clone(), LayerRange::new(first, class.range.end)));
            first = class.range.end;
        }
        Some(stages)
    }

    /// Picks the less loaded of two members drawn in proportion to their capacity, or the member
    /// with the lowest cost if that one is excluded or avoided.
    fn pick_member<'b>(
        &self,
        class: &'b EndpointClass,
        units: u64,
        seed: u64,
    ) -> Option<&'b EndpointName> {
        let hash = mix_seed(seed);
        let left = class.draw(hash)?;
        let right = class.draw(mix_seed(hash))?;
        let best = self.picker.pick_faster(left, right, units, self.now);
        if self.is_usable(best) {
            return Some(best);
        }
        self.best_member(class, units)
    }

    fn best_member<'b>(&self, class: &'b EndpointClass, units: u64) -> Option<&'b EndpointName> {
        class
            .members()
            .iter()
            .filter(|endpoint| !self.excluded.contains(endpoint))
            .min_by(|left, right| {
                let costs = [left, right].map(|name| self.cost_ms(name, units));
                costs[0].total_cmp(&costs[1])
            })
    }

    fn is_usable(&self, endpoint: &EndpointName) -> bool {
        !self.excluded.contains(endpoint) && !self.picker.rank(endpoint, 0, self.now).0
    }

    /// Returns the expected completion time in milliseconds, with a penalty for avoided endpoints.
    fn cost_ms(&self, endpoint: &EndpointName, units: u64) -> f64 {
        let (is_avoided, completion_ms) = self.picker.rank(endpoint, units, self.now);
        completion_ms + if is_avoided { AVOIDED_PENALTY_MS } else { 0.0 }
    }
}
