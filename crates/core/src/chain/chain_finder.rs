use crate::relay::EngineEntry;
use crate::relay::EngineTable;
use crate::relay::ModelShape;
use crate::stream::LayerRange;

use super::ChainPart;
use super::ChainShortage;
use super::FinderRequest;
use super::FoundChain;

/// The most parts of a chain that engines accept.
const MAX_PARTS: usize = 32;

/// The share of an engine's memory for requests that is given out.
///
/// The rest absorbs answers that outgrow their estimates; an engine that runs out of memory preempts
/// running streams.
const ROOM_SHARE: f64 = 0.95;

/// The share of an engine's slots as a first part that is given out.
///
/// Other processes send to the same engine without having heard of the newest requests.
const SLOT_SHARE: f64 = 0.9;

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

/// The factor on the time of an engine whose memory is all given out, above that of an empty one.
///
/// Spreads requests before memory runs out, so that large requests still find room.
const FULL_FACTOR: f64 = 1.0;

/// An engine that may be a part of a chain, with its present cost.
struct Candidate<'a> {
    entry: &'a EngineEntry,
    layers: LayerRange,
    /// The expected time of a token step for each layer, in milliseconds.
    layer_ms: f64,
    /// The most layers that the request's tokens have room for.
    room_layers: u16,
    may_start: bool,
}

/// The best way to a layer that ends at one candidate.
#[derive(Clone, Copy)]
struct Step {
    cost: f64,
    candidate: usize,
    /// The layer at which the candidate begins.
    first: u16,
    /// The step before, as layer and position among that layer's steps.
    previous: Option<(u16, usize)>,
    parts: usize,
}

/// Finds the chain with the least expected time of a token step.
///
/// Under load, the time of an engine grows with its running requests and with the memory that they
/// take, so that requests spread over unlike accelerators in proportion to their speed.
#[derive(Clone, Copy, Debug)]
pub struct ChainFinder<'a> {
    table: &'a EngineTable,
    service: &'a str,
    shape: &'a ModelShape,
}

impl<'a> ChainFinder<'a> {
    /// Creates a finder for the engines of one service.
    pub fn new(table: &'a EngineTable, service: &'a str, shape: &'a ModelShape) -> ChainFinder<'a> {
        ChainFinder {
            table,
            service,
            shape,
        }
    }

    /// Returns the best chain for a request; none if no chain has room.
    pub fn find(&self, request: &FinderRequest<'_>) -> Option<FoundChain> {
        let candidates = self.candidates(request);
        let chain = self.search(&candidates, request, true)?;
        if has_repeats(&chain) {
            // An engine that is left and entered again is not allowed; whole ranges never are.
            return self.search(&candidates, request, false);
        }
        Some(chain)
    }

    /// Returns the requests with `tokens` of context that fit beside those that run, counted at the
    /// layer with the least room.
    pub fn room(&self, tokens: f64) -> u32 {
        let layers = usize::from(self.shape.layers);
        let mut room = vec![0.0; layers];
        for entry in self.engines() {
            let held = entry.record.layers;
            let free = self.free_units(entry) / f64::from(held.len().max(1));
            for layer in held.first..held.end.min(self.shape.layers) {
                room[usize::from(layer)] += free;
            }
        }
        let least = room.into_iter().fold(f64::INFINITY, f64::min);
        match least.is_finite() {
            true => (least / tokens.max(1.0)) as u32,
            false => 0,
        }
    }

    /// Returns why no chain is found, at the first layer that lacks an engine.
    pub fn shortage(&self, request: &FinderRequest<'_>) -> ChainShortage {
        let candidates = self.candidates(request);
        let covers = |range: LayerRange, layer: u16| range.first <= layer && layer < range.end;
        for layer in 0..self.shape.layers {
            let mut holders = self
                .engines()
                .filter(|entry| covers(entry.record.layers, layer));
            if holders.clone().next().is_none() {
                return ChainShortage::NotHeld(layer);
            }
            if !holders.any(|entry| self.may_use(entry, request)) {
                return ChainShortage::Avoided(layer);
            }
            if !candidates
                .iter()
                .any(|candidate| covers(candidate.layers, layer))
            {
                return ChainShortage::Full(layer);
            }
        }
        ChainShortage::NoStart
    }

    fn may_use(&self, entry: &EngineEntry, request: &FinderRequest<'_>) -> bool {
        !request.excluded.contains(&entry.record.id) && entry.is_usable(request.now)
    }

    fn engines(&self) -> impl Iterator<Item = &'a EngineEntry> + Clone + use<'a> {
        let service = self.service;
        let entries = self.table.entries().iter();
        entries.filter(move |entry| {
            entry.record.service == service
                && !entry.record.is_draining
                && !entry.record.layers.is_empty()
        })
    }

    fn free_units(&self, entry: &EngineEntry) -> f64 {
        let Some(kind) = entry
            .record
            .kind
            .as_deref()
            .and_then(|kind| self.shape.kind(kind))
        else {
            return 0.0;
        };
        let room = self
            .shape
            .room_units(kind.memory_mb, entry.record.layers.len());
        (room * ROOM_SHARE - entry.units()).max(0.0)
    }

    fn candidates(&self, request: &FinderRequest<'_>) -> Vec<Candidate<'a>> {
        let mut candidates = Vec::new();
        for entry in self.engines() {
            if !self.may_use(entry, request) {
                continue;
            }
            let kind = entry
                .record
                .kind
                .as_deref()
                .and_then(|kind| self.shape.kind(kind));
            let Some(kind) = kind else { continue };
            let free = self.free_units(entry);
            let room_layers = (free / request.tokens.max(1.0)).min(f64::from(u16::MAX)) as u16;
            if room_layers == 0 {
                continue;
            }
            let held = f64::from(entry.record.layers.len());
            let room = self
                .shape
                .room_units(kind.memory_mb, entry.record.layers.len());
            let used = 1.0 - (free / (room * ROOM_SHARE).max(1.0)).clamp(0.0, 1.0);
            let writers = f64::from(entry.requests());
            let writer_ms = self.shape.sequence_ms
                + self.shape.context_ms * (self.shape.usual_prompt + self.shape.usual_answer / 2.0)
                    / 1_000.0;
            let full_ms = (self.shape.step_ms + writer_ms * writers) * kind.step_factor;
            let layer_ms = full_ms * entry.slowness * (1.0 + FULL_FACTOR * used)
                / f64::from(self.shape.layers.max(1));
            let slots = f64::from(entry.record.slots) * SLOT_SHARE;
            candidates.push(Candidate {
                entry,
                layers: entry.record.layers,
                layer_ms,
                room_layers: room_layers.min(held as u16),
                may_start: writers < slots,
            });
        }
        candidates
    }

    fn search(
        &self,
        candidates: &[Candidate<'a>],
        request: &FinderRequest<'_>,
        allows_early_end: bool,
    ) -> Option<FoundChain> {
        let layers = self.shape.layers;
        let mut bounds: Vec<u16> = candidates
            .iter()
            .map(|candidate| candidate.layers.first)
            .collect();
        bounds.push(layers);
        bounds.sort_unstable();
        bounds.dedup();
        // The best steps that end at each layer, at most one for each availability zone.
        let mut steps: Vec<Vec<Step>> = vec![Vec::new(); usize::from(layers) + 1];
        for first in 0..layers {
            for index in 0..candidates.len() {
                self.extend(
                    candidates,
                    index,
                    first,
                    &bounds,
                    allows_early_end,
                    request,
                    &mut steps,
                );
            }
        }
        let last = steps[usize::from(layers)]
            .iter()
            .min_by(|left, right| left.cost.total_cmp(&right.cost))?;
        Some(trace(candidates, &steps, *last))
    }

    /// Adds the steps in which one candidate begins at layer `first`.
    #[expect(
        clippy::too_many_arguments,
        reason = "the state of the search stays on the stack"
    )]
    fn extend(
        &self,
        candidates: &[Candidate<'a>],
        index: usize,
        first: u16,
        bounds: &[u16],
        allows_early_end: bool,
        request: &FinderRequest<'_>,
        steps: &mut [Vec<Step>],
    ) {
        let candidate = &candidates[index];
        if first < candidate.layers.first || first >= candidate.layers.end {
            return;
        }
        let Some((entry_cost, previous, parts)) =
            self.entry_cost(candidates, index, first, request, steps)
        else {
            return;
        };
        let limit = candidate
            .layers
            .end
            .min(first.saturating_add(candidate.room_layers));
        let start = bounds.partition_point(|bound| *bound <= first);
        let early = bounds[start..]
            .iter()
            .copied()
            .take_while(|bound| *bound < candidate.layers.end);
        let ends = early
            .filter(|_| allows_early_end)
            .chain(std::iter::once(candidate.layers.end.min(self.shape.layers)));
        for end in ends.filter(|end| *end <= limit) {
            let cost = entry_cost + candidate.layer_ms * f64::from(end - first);
            let step = Step {
                cost,
                candidate: index,
                first,
                previous,
                parts,
            };
            let zone = &candidate.entry.record.zone;
            let slot = &mut steps[usize::from(end)];
            let known = slot
                .iter_mut()
                .find(|known| candidates[known.candidate].entry.record.zone == *zone);
            match known {
                Some(known) if known.cost <= cost => {}
                Some(known) => *known = step,
                None => slot.push(step),
            }
        }
    }

    /// Returns the least cost to reach `first` with a hop to the candidate, and the step before.
    fn entry_cost(
        &self,
        candidates: &[Candidate<'a>],
        index: usize,
        first: u16,
        request: &FinderRequest<'_>,
        steps: &[Vec<Step>],
    ) -> Option<(f64, Option<(u16, usize)>, usize)> {
        let zone = &candidates[index].entry.record.zone;
        if first == 0 {
            let is_near = request.zone == zone;
            let hop = if is_near { NEAR_HOP_MS } else { FAR_HOP_MS };
            return candidates[index].may_start.then_some((hop, None, 1));
        }
        let mut best: Option<(f64, Option<(u16, usize)>, usize)> = None;
        for (position, step) in steps[usize::from(first)].iter().enumerate() {
            if step.candidate == index || step.parts >= MAX_PARTS {
                continue;
            }
            let is_near = candidates[step.candidate].entry.record.zone == *zone;
            if !is_near && !request.may_cross {
                continue;
            }
            let hop = if is_near { NEAR_HOP_MS } else { CROSSING_MS };
            let cost = step.cost + hop;
            if best.is_none_or(|(known, ..)| cost < known) {
                best = Some((cost, Some((first, position)), step.parts + 1));
            }
        }
        best
    }
}

fn trace(candidates: &[Candidate<'_>], steps: &[Vec<Step>], last: Step) -> FoundChain {
    let mut parts = Vec::new();
    let mut end = (steps.len() - 1) as u16;
    let mut step = Some(last);
    while let Some(current) = step {
        let record = &candidates[current.candidate].entry.record;
        parts.push(ChainPart {
            id: record.id.clone(),
            address: record.address,
            layers: LayerRange::new(current.first, end),
        });
        end = current.first;
        step = current
            .previous
            .map(|(layer, position)| steps[usize::from(layer)][position]);
    }
    parts.reverse();
    let crossings = (last.cost / CROSSING_MS) as usize;
    FoundChain {
        parts,
        crossings,
        step_ms: last.cost - crossings as f64 * CROSSING_MS,
    }
}

fn has_repeats(chain: &FoundChain) -> bool {
    let mut ids: Vec<&str> = chain.parts.iter().map(|part| part.id.as_str()).collect();
    ids.sort_unstable();
    ids.windows(2).any(|pair| pair[0] == pair[1])
}
