use crate::relay::AcceleratorKind;
use crate::relay::ModelShape;
use crate::route::FlowSolver;

use super::PlacementEngine;
use super::RequestProfile;

/// The bisection steps in the search for the maximum rate.
const RATE_BISECTION_STEPS: u32 = 30;

/// The units of flow for a rate of one request a second; the flow solver works on integers.
const RATE_SCALE: f64 = 1_000.0;

/// An upper bound on the rate of requests that chains serve in time, for a given placement of layers.
///
/// The bound is a maximum flow through the layers. Every layer must carry the whole rate of its
/// availability zone, and an engine divides its capacity among the layers that it holds. The capacity is
/// limited by time and by memory. Time covers prefill, and decoding in the largest batches that keep the
/// allowed time between events. Memory is counted per request for no longer than the run time on the
/// fastest engines of the zone. Chains across zones are limited by the rate of the link between zones.
/// The bound treats requests as divisible and ignores queueing and outdated load reports, so no routing
/// policy reaches it.
///
/// # Example
///
/// ```
/// use dandelionroad_core::chain::PlacementEngine;
/// use dandelionroad_core::chain::RequestProfile;
/// use dandelionroad_core::chain::ThroughputBound;
/// use dandelionroad_core::relay::AcceleratorKind;
/// use dandelionroad_core::relay::ModelShape;
/// use dandelionroad_core::stream::LayerRange;
///
/// let shape = ModelShape {
///     layers: 10,
///     token_bytes: 1_000_000.0,
///     step_ms: 1.0,
///     read_per_ms: 100.0,
///     slots: 100,
///     pass_steps: 1.0,
///     kinds: vec![AcceleratorKind {
///         name: "card".to_owned(),
///         memory_mb: 10_000.0,
///         step_factor: 1.0,
///         read_factor: 1.0,
///     }],
///     ..ModelShape::default()
/// };
/// let engine = |id: &str, first, end| PlacementEngine {
///     id: id.to_owned(),
///     zone: "a".to_owned(),
///     kind: "card".to_owned(),
///     layers: LayerRange::new(first, end),
///     has_pending_order: false,
/// };
/// let profile = RequestProfile { prompt_tokens: 900.0, answer_tokens: 100.0, max_gap_ms: 200.0 };
/// let bound = ThroughputBound::new(&shape);
/// let halves = [engine("e1", 0, 5), engine("e2", 5, 10)];
/// // Two engines with half of the layers each have twice the memory for each layer.
/// assert!(bound.fleet_rate(&halves, &profile) > bound.fleet_rate(&[engine("e1", 0, 10)], &profile));
/// // Without an engine for some layer, no request is served.
/// assert_eq!(bound.fleet_rate(&halves[..1], &profile), 0.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ThroughputBound<'a> {
    shape: &'a ModelShape,
}

impl<'a> ThroughputBound<'a> {
    /// Creates a bound for engines that run this model.
    pub fn new(shape: &'a ModelShape) -> ThroughputBound<'a> {
        ThroughputBound { shape }
    }

    /// Returns the bound for all availability zones together, in requests a second.
    pub fn fleet_rate(&self, engines: &[PlacementEngine], profile: &RequestProfile) -> f64 {
        let mut zones: Vec<&str> = engines.iter().map(|engine| engine.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let within_zones: f64 = zones
            .iter()
            .map(|zone| self.zone_rate(engines, zone, profile))
            .sum();
        let crossing = match zones.len() > 1 {
            true => self.shape.link_tokens_per_second() / profile.total_tokens().max(1.0),
            false => 0.0,
        };
        let all: Vec<&PlacementEngine> = engines.iter().collect();
        (within_zones + crossing).min(self.rate(&all, profile))
    }

    /// Returns the bound for chains within one availability zone, in requests a second.
    pub fn zone_rate(
        &self,
        engines: &[PlacementEngine],
        zone: &str,
        profile: &RequestProfile,
    ) -> f64 {
        let own = engines.iter().filter(|engine| engine.zone == zone);
        let own: Vec<&PlacementEngine> = own.collect();
        self.rate(&own, profile)
    }

    /// Returns the bound for chains of the engines of one group, in requests a second.
    pub(super) fn group_rate(&self, engines: &[PlacementEngine], profile: &RequestProfile) -> f64 {
        let all: Vec<&PlacementEngine> = engines.iter().collect();
        self.rate(&all, profile)
    }

    fn rate(&self, engines: &[&PlacementEngine], profile: &RequestProfile) -> f64 {
        let Some(run_ms) = self.min_run_ms(engines, profile) else {
            return 0.0;
        };
        let capacities: Vec<f64> = engines
            .iter()
            .map(|engine| self.capacity(engine, profile, run_ms))
            .collect();
        let segments = self.segments(engines);
        let total: f64 = capacities.iter().sum();
        let (mut low, mut high) = (0.0, total / f64::from(self.shape.layers.max(1)));
        for _ in 0..RATE_BISECTION_STEPS {
            let middle = (low + high) / 2.0;
            match can_carry(engines, &capacities, &segments, middle) {
                true => low = middle,
                false => high = middle,
            }
        }
        low
    }

    /// Returns the time of a single request on the fastest engine of each layer, in milliseconds; none if
    /// a layer has no engine.
    fn min_run_ms(&self, engines: &[&PlacementEngine], profile: &RequestProfile) -> Option<f64> {
        let layers = f64::from(self.shape.layers.max(1));
        let mut run_ms = 0.0;
        for layer in 0..self.shape.layers {
            let holders = engines
                .iter()
                .filter(|engine| engine.layers.first <= layer && layer < engine.layers.end);
            let times = holders.filter_map(|engine| {
                let kind = self.shape.kind(&engine.kind)?;
                let read_ms =
                    profile.prompt_tokens / self.shape.read_per_ms.max(1e-9) * kind.read_factor;
                Some(read_ms + profile.answer_tokens * self.shape.step_ms * kind.step_factor)
            });
            run_ms += times.min_by(f64::total_cmp)? / layers;
        }
        Some(run_ms)
    }

    /// Returns the rate at which an engine can run one layer, limited by time and by memory, in requests
    /// a second.
    fn capacity(&self, engine: &PlacementEngine, profile: &RequestProfile, run_ms: f64) -> f64 {
        let Some(kind) = self.shape.kind(&engine.kind) else {
            return 0.0;
        };
        let held = engine.layers.len();
        let memory_units = self.shape.kv_capacity_units(kind.memory_mb, held);
        let max_batch = memory_units / (profile.total_tokens() * f64::from(held)).max(1.0);
        let by_memory = memory_units / profile.total_tokens().max(1.0) / run_ms.max(1e-9) * 1_000.0;
        let layer_ms = self.layer_ms(kind, held, max_batch, profile);
        (1_000.0 / layer_ms.max(1e-9)).min(by_memory)
    }

    /// Returns the minimum time of one layer for one request in batches of up to `max_batch` requests, in
    /// milliseconds.
    fn layer_ms(
        &self,
        kind: &AcceleratorKind,
        held: u16,
        max_batch: f64,
        profile: &RequestProfile,
    ) -> f64 {
        let shape = self.shape;
        let layers = f64::from(shape.layers.max(1));
        let context = profile.prompt_tokens + profile.answer_tokens / 2.0;
        let decode_ms = shape.decode_ms(context);
        let share = f64::from(held) / layers;
        let pass_ms = profile.max_gap_ms / (shape.pass_steps * kind.step_factor * share).max(1e-9);
        let by_gap = (pass_ms - shape.step_ms) / decode_ms.max(1e-9);
        let batch = by_gap.min(f64::from(shape.slots)).min(max_batch).max(1.0);
        let token_ms = (shape.step_ms / batch + decode_ms) * kind.step_factor;
        let read_ms = profile.prompt_tokens / shape.read_per_ms.max(1e-9) * kind.read_factor;
        (read_ms + profile.answer_tokens * token_ms) / layers
    }

    /// Returns the longest runs of layers that the same engines hold, each as first layer and end.
    fn segments(&self, engines: &[&PlacementEngine]) -> Vec<(u16, u16)> {
        let bounds = engines
            .iter()
            .flat_map(|engine| [engine.layers.first, engine.layers.end]);
        let mut bounds: Vec<u16> = bounds.filter(|bound| *bound < self.shape.layers).collect();
        bounds.extend([0, self.shape.layers]);
        bounds.sort_unstable();
        bounds.dedup();
        bounds.windows(2).map(|pair| (pair[0], pair[1])).collect()
    }
}

/// Returns whether engines with these capacities can run `rate` requests a second through all segments.
fn can_carry(
    engines: &[&PlacementEngine],
    capacities: &[f64],
    segments: &[(u16, u16)],
    rate: f64,
) -> bool {
    let units = |value: f64| (value * RATE_SCALE) as u64;
    let sink = 1 + engines.len() + segments.len();
    let mut solver = FlowSolver::new(sink + 1);
    for (index, (engine, capacity)) in engines.iter().zip(capacities).enumerate() {
        solver.add_edge(0, 1 + index, units(*capacity));
        for (number, (first, end)) in segments.iter().enumerate() {
            if engine.layers.first <= *first && *end <= engine.layers.end {
                // An engine runs each request at most once through a segment.
                let limit = units(rate * f64::from(end - first));
                solver.add_edge(1 + index, 1 + engines.len() + number, limit);
            }
        }
    }
    let mut demand = 0;
    for (number, (first, end)) in segments.iter().enumerate() {
        let units = units(rate * f64::from(end - first));
        demand += units;
        solver.add_edge(1 + engines.len() + number, sink, units);
    }
    solver.maximize(0, sink) == demand
}
