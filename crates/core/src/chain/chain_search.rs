//! A shortest-path search for the chain with the lowest cost.

use crate::stream::LayerRange;

use super::ChainStage;
use super::FinderRequest;
use super::FoundChain;
use super::chain_candidate::ChainCandidate;

/// The maximum number of stages that engines accept in a chain.
const MAX_STAGES: usize = 32;

/// The expected time of a hop within an availability zone, in milliseconds.
const SAME_ZONE_HOP_MS: f64 = 0.1;

/// The cost of a hop from the entry to another availability zone, in milliseconds of step time.
///
/// The hop itself takes half a millisecond. The rest keeps streams in their zone, where traffic is
/// cheaper.
const ENTRY_CROSSING_MS: f64 = 1.5;

/// The cost of a hop between engines in different availability zones, in milliseconds of step time.
///
/// It exceeds the cost of any chain within a zone, because prompts that cross zones share one link.
const ENGINE_CROSSING_MS: f64 = 1_000.0;

/// The cost of one millisecond of waiting for prefill at a stage, in milliseconds of step time.
///
/// A wait of half a second adds the cost of 8 ms of step time: a first event that is late by that
/// much is worse than 200 tokens that each take 5 ms longer. The wait counts at each of the four or
/// five stages of a chain.
const WAIT_WEIGHT: f64 = 0.016;

/// The start of a chain, from the first layer to a stage at one candidate.
#[derive(Clone, Copy)]
struct ChainPrefix {
    cost: f64,
    candidate: usize,
    /// The first layer that the candidate runs.
    first: u16,
    /// The prefix before the candidate, as its end layer and its index in `prefixes` there.
    previous: Option<(u16, usize)>,
    stages: usize,
}

/// A hop to a candidate.
#[derive(Clone, Copy)]
struct CandidateHop {
    /// The cost of the chain up to the candidate, including this hop.
    cost: f64,
    /// The prefix before the candidate, as in [`ChainPrefix`].
    previous: Option<(u16, usize)>,
    /// The number of stages up to the candidate, which is included.
    stages: usize,
}

/// A search that keeps, at each layer, the cheapest prefix of each availability zone.
pub(super) struct ChainSearch<'a> {
    layers: u16,
    candidates: &'a [ChainCandidate<'a>],
    request: &'a FinderRequest<'a>,
    /// The layers at which some candidate's range begins, sorted; a stage may end early only there.
    range_starts: Vec<u16>,
    /// The cheapest prefixes that end at each layer, one for each availability zone.
    prefixes: Vec<Vec<ChainPrefix>>,
}

impl<'a> ChainSearch<'a> {
    /// Creates a search over a model of `layers` layers.
    pub(super) fn new(
        layers: u16,
        candidates: &'a [ChainCandidate<'a>],
        request: &'a FinderRequest<'a>,
    ) -> ChainSearch<'a> {
        let firsts = candidates.iter().map(|candidate| candidate.layers.first);
        let mut range_starts: Vec<u16> = firsts.collect();
        range_starts.sort_unstable();
        range_starts.dedup();
        ChainSearch {
            layers,
            candidates,
            request,
            range_starts,
            prefixes: vec![Vec::new(); usize::from(layers) + 1],
        }
    }

    /// Returns the chain with the lowest cost; with `allows_early_end`, a stage may end before the range
    /// of its engine does.
    pub(super) fn run(mut self, allows_early_end: bool) -> Option<FoundChain> {
        for first in 0..self.layers {
            for index in 0..self.candidates.len() {
                self.extend(index, first, allows_early_end);
            }
        }
        let last = self.prefixes[usize::from(self.layers)]
            .iter()
            .min_by(|left, right| left.cost.total_cmp(&right.cost))?;
        Some(self.build_chain(*last))
    }

    /// Adds the prefixes whose last stage runs a candidate from layer `first`.
    fn extend(&mut self, index: usize, first: u16, allows_early_end: bool) {
        let candidate = &self.candidates[index];
        if first < candidate.layers.first || first >= candidate.layers.end {
            return;
        }
        let Some(hop) = self.cheapest_hop(index, first) else {
            return;
        };
        let whole = candidate.layers.end.min(self.layers);
        let limit = whole.min(first.saturating_add(candidate.max_layers));
        let mut ends = vec![whole];
        if allows_early_end {
            let start = self.range_starts.partition_point(|layer| *layer <= first);
            let early = self.range_starts[start..].iter().copied();
            ends.extend(early.take_while(|layer| *layer < whole));
        }
        for end in ends.into_iter().filter(|end| *end <= limit) {
            let prefix = ChainPrefix {
                cost: hop.cost
                    + candidate.prefill_wait_ms * WAIT_WEIGHT
                    + candidate.layer_ms * f64::from(end - first),
                candidate: index,
                first,
                previous: hop.previous,
                stages: hop.stages,
            };
            self.keep_if_cheapest(end, prefix);
        }
    }

    /// Keeps a prefix if it is the cheapest of its zone at the layer where it ends.
    fn keep_if_cheapest(&mut self, end: u16, prefix: ChainPrefix) {
        let zone = self.zone(prefix.candidate);
        let known = self.prefixes[usize::from(end)]
            .iter()
            .position(|known| self.zone(known.candidate) == zone);
        let prefixes = &mut self.prefixes[usize::from(end)];
        match known {
            Some(position) if prefixes[position].cost <= prefix.cost => {}
            Some(position) => prefixes[position] = prefix,
            None => prefixes.push(prefix),
        }
    }

    /// Returns the cheapest hop to a candidate that runs from layer `first`.
    fn cheapest_hop(&self, index: usize, first: u16) -> Option<CandidateHop> {
        let zone = self.zone(index);
        if first == 0 {
            let is_same_zone = self.request.zone == zone;
            let hop = CandidateHop {
                cost: if is_same_zone {
                    SAME_ZONE_HOP_MS
                } else {
                    ENTRY_CROSSING_MS
                },
                previous: None,
                stages: 1,
            };
            return self.candidates[index].has_free_slot.then_some(hop);
        }
        let mut cheapest: Option<CandidateHop> = None;
        for (position, prefix) in self.prefixes[usize::from(first)].iter().enumerate() {
            let is_same_zone = self.zone(prefix.candidate) == zone;
            let is_allowed = is_same_zone || self.request.may_cross;
            if prefix.candidate == index || prefix.stages >= MAX_STAGES || !is_allowed {
                continue;
            }
            let cost = prefix.cost
                + if is_same_zone {
                    SAME_ZONE_HOP_MS
                } else {
                    ENGINE_CROSSING_MS
                };
            if cheapest.is_none_or(|known| cost < known.cost) {
                cheapest = Some(CandidateHop {
                    cost,
                    previous: Some((first, position)),
                    stages: prefix.stages + 1,
                });
            }
        }
        cheapest
    }

    /// Builds the chain of which `last` is the complete prefix.
    fn build_chain(&self, last: ChainPrefix) -> FoundChain {
        let mut stages = Vec::new();
        let mut unloaded_step_ms = 0.0;
        let mut end = self.layers;
        let mut prefix = Some(last);
        while let Some(current) = prefix {
            let candidate = &self.candidates[current.candidate];
            let record = &candidate.entry.record;
            unloaded_step_ms += candidate.unloaded_ms * f64::from(end - current.first);
            stages.push(ChainStage {
                id: record.id.clone(),
                address: record.address,
                layers: LayerRange::new(current.first, end),
            });
            end = current.first;
            prefix = current
                .previous
                .map(|(layer, position)| self.prefixes[usize::from(layer)][position]);
        }
        stages.reverse();
        let crossings = (last.cost / ENGINE_CROSSING_MS) as usize;
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
