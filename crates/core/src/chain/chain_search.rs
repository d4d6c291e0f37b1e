//! The search for the chain with the least cost.

use crate::stream::LayerRange;

use super::ChainStage;
use super::FinderRequest;
use super::FoundChain;
use super::chain_candidate::ChainCandidate;

/// The most parts of a chain that engines accept.
const MAX_PARTS: usize = 32;

/// The expected time of a hop within an availability zone, in milliseconds.
const NEAR_HOP_MS: f64 = 0.1;

/// The cost of a hop from the entry to another availability zone, in milliseconds of a step.
///
/// The hop takes half a millisecond; the rest keeps streams in their zone, whose bytes are cheaper.
const FAR_HOP_MS: f64 = 1.5;

/// The cost of a hop between engines of different availability zones, in milliseconds of a step.
///
/// More than any chain within a zone takes, because prompts that cross share one pipe.
const CROSSING_MS: f64 = 1_000.0;

/// The time of a step that is worth as much as a millisecond less of waiting at one part, in
/// milliseconds.
///
/// A first event that is late by half a second loses more than an answer whose 200 tokens each take
/// 5 ms more,
/// and prompts that wait are counted at each of the four or five parts of their chain.
const WAIT_WEIGHT: f64 = 0.016;

/// The best way to a layer that ends at one candidate.
#[derive(Clone, Copy)]
struct ChainStep {
    cost: f64,
    candidate: usize,
    /// The layer at which the candidate begins.
    first: u16,
    /// The step before, as layer and position among that layer's steps.
    previous: Option<(u16, usize)>,
    stages: usize,
}

/// A hop to a candidate: the cost up to there, the step before and the number of parts with it.
#[derive(Clone, Copy)]
struct ChainHop {
    cost: f64,
    previous: Option<(u16, usize)>,
    stages: usize,
}

/// A shortest path over the layers; at each layer the best step of each availability zone is kept.
pub(super) struct ChainSearch<'a> {
    layers: u16,
    candidates: &'a [ChainCandidate<'a>],
    request: &'a FinderRequest<'a>,
    /// The layers at which some candidate begins, sorted: the ends of parts of ranges.
    bounds: Vec<u16>,
    /// The best steps that end at each layer.
    steps: Vec<Vec<ChainStep>>,
}

impl<'a> ChainSearch<'a> {
    /// Creates a search over a model of `layers` layers.
    pub(super) fn new(
        layers: u16,
        candidates: &'a [ChainCandidate<'a>],
        request: &'a FinderRequest<'a>,
    ) -> ChainSearch<'a> {
        let firsts = candidates.iter().map(|candidate| candidate.layers.first);
        let mut bounds: Vec<u16> = firsts.collect();
        bounds.sort_unstable();
        bounds.dedup();
        ChainSearch {
            layers,
            candidates,
            request,
            bounds,
            steps: vec![Vec::new(); usize::from(layers) + 1],
        }
    }

    /// Returns the chain with the least cost; with `allows_early_end`, parts may end before the range
    /// of their engine does.
    pub(super) fn run(mut self, allows_early_end: bool) -> Option<FoundChain> {
        for first in 0..self.layers {
            for index in 0..self.candidates.len() {
                self.extend(index, first, allows_early_end);
            }
        }
        let last = self.steps[usize::from(self.layers)]
            .iter()
            .min_by(|left, right| left.cost.total_cmp(&right.cost))?;
        Some(self.trace(*last))
    }

    /// Adds the steps in which one candidate begins at layer `first`.
    fn extend(&mut self, index: usize, first: u16, allows_early_end: bool) {
        let candidate = &self.candidates[index];
        if first < candidate.layers.first || first >= candidate.layers.end {
            return;
        }
        let Some(hop) = self.hop(index, first) else {
            return;
        };
        let whole = candidate.layers.end.min(self.layers);
        let limit = whole.min(first.saturating_add(candidate.room_layers));
        let mut ends = vec![whole];
        if allows_early_end {
            let start = self.bounds.partition_point(|bound| *bound <= first);
            let early = self.bounds[start..].iter().copied();
            ends.extend(early.take_while(|bound| *bound < whole));
        }
        for end in ends.into_iter().filter(|end| *end <= limit) {
            let step = ChainStep {
                cost: hop.cost
                    + candidate.wait_ms * WAIT_WEIGHT
                    + candidate.layer_ms * f64::from(end - first),
                candidate: index,
                first,
                previous: hop.previous,
                stages: hop.stages,
            };
            self.keep(end, step);
        }
    }

    /// Keeps a step if it is the best of its zone at the layer where it ends.
    fn keep(&mut self, end: u16, step: ChainStep) {
        let zone = self.zone(step.candidate);
        let known = self.steps[usize::from(end)]
            .iter()
            .position(|known| self.zone(known.candidate) == zone);
        let slot = &mut self.steps[usize::from(end)];
        match known {
            Some(position) if slot[position].cost <= step.cost => {}
            Some(position) => slot[position] = step,
            None => slot.push(step),
        }
    }

    /// Returns the hop with the least cost to a candidate that begins at layer `first`.
    fn hop(&self, index: usize, first: u16) -> Option<ChainHop> {
        let zone = self.zone(index);
        if first == 0 {
            let is_near = self.request.zone == zone;
            let hop = ChainHop {
                cost: if is_near { NEAR_HOP_MS } else { FAR_HOP_MS },
                previous: None,
                stages: 1,
            };
            return self.candidates[index].may_start.then_some(hop);
        }
        let mut best: Option<ChainHop> = None;
        for (position, step) in self.steps[usize::from(first)].iter().enumerate() {
            let is_near = self.zone(step.candidate) == zone;
            let is_allowed = is_near || self.request.may_cross;
            if step.candidate == index || step.stages >= MAX_PARTS || !is_allowed {
                continue;
            }
            let cost = step.cost + if is_near { NEAR_HOP_MS } else { CROSSING_MS };
            if best.is_none_or(|known| cost < known.cost) {
                best = Some(ChainHop {
                    cost,
                    previous: Some((first, position)),
                    stages: step.stages + 1,
                });
            }
        }
        best
    }

    /// Returns the chain that ends with a step.
    fn trace(&self, last: ChainStep) -> FoundChain {
        let mut stages = Vec::new();
        let mut unloaded_step_ms = 0.0;
        let mut end = self.layers;
        let mut step = Some(last);
        while let Some(current) = step {
            let candidate = &self.candidates[current.candidate];
            let record = &candidate.entry.record;
            unloaded_step_ms += candidate.unloaded_ms * f64::from(end - current.first);
            stages.push(ChainStage {
                id: record.id.clone(),
                address: record.address,
                layers: LayerRange::new(current.first, end),
            });
            end = current.first;
            step = current
                .previous
                .map(|(layer, position)| self.steps[usize::from(layer)][position]);
        }
        stages.reverse();
        let crossings = (last.cost / CROSSING_MS) as usize;
        FoundChain {
            stages,
            crossings,
            unloaded_step_ms,
        }
    }

    fn zone(&self, candidate: usize) -> &'a str {
        &self.candidates[candidate].entry.record.zone
    }
}
