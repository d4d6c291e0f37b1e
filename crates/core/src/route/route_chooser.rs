use crate::ident::EndpointName;
use crate::stream::LayerRange;
use crate::time::MilliTime;

use super::EndpointClass;
use super::EndpointPicker;
use super::FlowPath;
use super::RoutePlan;
use super::seeded_hash::mix_seed;

/// The number of paths drawn, of which the one with the least loaded slowest stage is taken.
const PATH_DRAWS: u64 = 2;

/// The rank of an endpoint that is to be avoided, far above any time to complete, in milliseconds.
const AVOIDED_MS: f64 = 1e12;

/// The choice of a route: a path in proportion to the flow, and on it the less loaded of two
/// endpoints for each stage.
#[derive(Clone, Copy, Debug)]
pub struct RouteChooser<'a> {
    /// The paths.
    pub plan: &'a RoutePlan,
    /// The loads.
    pub picker: &'a EndpointPicker,
    /// The endpoints that must not be used, for example because they failed this request.
    pub excluded: &'a [EndpointName],
    /// The present time.
    pub now: MilliTime,
}

impl RouteChooser<'_> {
    /// Chooses the endpoints and ranges of a route for `units` of work.
    ///
    /// Returns `None` when no path is free of excluded endpoints.
    pub fn choose(&self, units: u64, seed: u64) -> Option<Vec<(EndpointName, LayerRange)>> {
        let drawn = (0..PATH_DRAWS).filter_map(|draw| {
            let hash = mix_seed(seed.wrapping_add(draw));
            self.fill(self.plan.draw(hash)?, units, hash)
        });
        let slowest_ms = |route: &Vec<(EndpointName, LayerRange)>| {
            let waits = route.iter().map(|(endpoint, _)| self.rank(endpoint, units));
            waits.fold(0.0, f64::max)
        };
        let best = drawn.min_by(|left, right| slowest_ms(left).total_cmp(&slowest_ms(right)));
        if best
            .as_ref()
            .is_some_and(|route| slowest_ms(route) < AVOIDED_MS)
        {
            return best;
        }
        // Every drawn path meets an endpoint that is excluded or to be avoided.
        let paths = self.plan.paths().iter();
        paths
            .filter_map(|path| self.fill(path, units, seed))
            .min_by(|left, right| slowest_ms(left).total_cmp(&slowest_ms(right)))
    }

    /// Chooses endpoints that replace a stage of `range`, usually one, else a chain of several.
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
                    let ranks = [left, right].map(|(_, name)| self.rank(name, units));
                    (right.0.cmp(&left.0)).then(ranks[0].total_cmp(&ranks[1]))
                })?;
            stages.push((endpoint.clone(), LayerRange::new(first, end)));
            first = end;
        }
        Some(stages)
    }

    fn fill(
        &self,
        path: &FlowPath,
        units: u64,
        seed: u64,
    ) -> Option<Vec<(EndpointName, LayerRange)>> {
        let mut first = 0;
        let mut stages = Vec::with_capacity(path.classes.len());
        for (stage, index) in path.classes.iter().enumerate() {
            let class = &self.plan.classes()[*index];
            let endpoint = self.pick(class, units, seed.wrapping_add(stage as u64 + 1))?;
            stages.push((endpoint.clone(), LayerRange::new(first, class.range.end)));
            first = class.range.end;
        }
        Some(stages)
    }

    /// Picks the less loaded of two members drawn in proportion to their capacity.
    fn pick<'b>(
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
                let ranks = [left, right].map(|name| self.rank(name, units));
                ranks[0].total_cmp(&ranks[1])
            })
    }

    fn is_usable(&self, endpoint: &EndpointName) -> bool {
        !self.excluded.contains(endpoint) && !self.picker.rank(endpoint, 0, self.now).0
    }

    /// Returns the time to complete; avoided endpoints come after all others.
    fn rank(&self, endpoint: &EndpointName, units: u64) -> f64 {
        let (is_avoided, wait_ms) = self.picker.rank(endpoint, units, self.now);
        wait_ms + if is_avoided { AVOIDED_MS } else { 0.0 }
    }
}
