use crate::relay::EngineEntry;
use crate::relay::EngineTable;
use crate::relay::ModelShape;
use crate::route::mix_seed;
use crate::stream::LayerRange;

use super::ChainShortage;
use super::FinderRequest;
use super::FoundChain;
use super::ZoneShortage;
use super::chain_candidate::ChainCandidate;
use super::chain_search::ChainSearch;

/// The share of an engine's memory for requests that is given out.
///
/// The rest absorbs answers that outgrow their estimates; an engine that runs out of memory preempts
/// running streams.
const ROOM_SHARE: f64 = 0.95;

/// The factor on the time of an engine whose memory is all given out, above that of an empty one.
///
/// Spreads requests before memory runs out, so that large requests still find room.
const FULL_FACTOR: f64 = 1.0;

/// The greatest factor by which chance raises the time of an engine for one request, above 1.
///
/// Processes that decide by the same reports, some hundred milliseconds old, would all choose the same
/// chain until the next ones.
const SPREAD_FACTOR: f64 = 0.25;

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
        let chain = ChainSearch::new(self.shape.layers, &candidates, request).run(true)?;
        if has_repeats(&chain) {
            // An engine that is left and entered again is not allowed; whole ranges never are.
            return ChainSearch::new(self.shape.layers, &candidates, request).run(false);
        }
        Some(chain)
    }

    /// Returns for each availability zone why it has no chain, at the first layer that lacks an engine.
    pub fn shortages(&self, request: &FinderRequest<'_>) -> Vec<ZoneShortage<'a>> {
        let candidates = self.candidates(request);
        let mut zones: Vec<&str> = self.engines().map(zone_of).collect();
        zones.sort_unstable();
        zones.dedup();
        let shortage = |zone| ZoneShortage {
            zone,
            shortage: self.zone_shortage(zone, &candidates, request),
        };
        zones.into_iter().map(shortage).collect()
    }

    fn zone_shortage(
        &self,
        zone: &str,
        candidates: &[ChainCandidate<'_>],
        request: &FinderRequest<'_>,
    ) -> ChainShortage {
        let covers = |range: LayerRange, layer: u16| range.first <= layer && layer < range.end;
        for layer in 0..self.shape.layers {
            let mut holders = self
                .engines()
                .filter(|entry| zone_of(entry) == zone && covers(entry.record.layers, layer));
            if holders.clone().next().is_none() {
                return ChainShortage::NotHeld(layer);
            }
            if !holders.any(|entry| self.may_use(entry, request)) {
                return ChainShortage::Avoided(layer);
            }
            if !candidates.iter().any(|candidate| {
                zone_of(candidate.entry) == zone && covers(candidate.layers, layer)
            }) {
                return ChainShortage::Full(layer);
            }
        }
        ChainShortage::NoFreeSlot
    }

    /// Returns how long a prompt waits at an engine until `tokens` of other prompts are read, if one
    /// token step takes `step_ms`.
    ///
    /// An engine reads a chunk in each pass, and a pass takes the longer the more requests write.
    fn read_wait_ms(&self, tokens: f64, step_ms: f64) -> f64 {
        tokens / self.shape.chunk_tokens.max(1.0) * step_ms * self.shape.pass_steps
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

    fn candidates(&self, request: &FinderRequest<'_>) -> Vec<ChainCandidate<'a>> {
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
            let held = entry.record.layers.len();
            let room = self.shape.kv_capacity_units(kind.memory_mb, held) * ROOM_SHARE;
            let free = (room - entry.units()).max(0.0);
            let room_layers = (free / request.tokens.max(1.0)).min(f64::from(u16::MAX)) as u16;
            let usual = self.shape.mean_tokens() * f64::from(held);
            if room_layers == 0 || entry.remaining_share(room, usual) <= 0.0 {
                continue;
            }
            let used = 1.0 - (free / room.max(1.0)).clamp(0.0, 1.0);
            let writers = f64::from(entry.requests());
            let context = self.shape.usual_prompt + self.shape.usual_answer / 2.0;
            let writer_ms = self.shape.decode_ms(context);
            let full_ms = (self.shape.step_ms + writer_ms * writers) * kind.step_factor;
            let spread = f64::from(mix_seed(request.seed ^ u64::from(entry.tag)) as u32);
            let spread = 1.0 + SPREAD_FACTOR * spread / f64::from(u32::MAX);
            let layer_ms = full_ms * entry.slowdown * spread * (1.0 + FULL_FACTOR * used)
                / f64::from(self.shape.layers.max(1));
            let slots = f64::from(entry.record.slots);
            let wait_ms = self.read_wait_ms(entry.prefill_tokens(), layer_ms * f64::from(held));
            if wait_ms > request.max_wait_ms {
                continue;
            }
            candidates.push(ChainCandidate {
                entry,
                layers: entry.record.layers,
                layer_ms,
                unloaded_ms: self.shape.step_ms * kind.step_factor
                    / f64::from(self.shape.layers.max(1)),
                wait_ms,
                room_layers: room_layers.min(held),
                may_start: writers < slots,
            });
        }
        candidates
    }
}

fn zone_of(entry: &EngineEntry) -> &str {
    &entry.record.zone
}

fn has_repeats(chain: &FoundChain) -> bool {
    let mut ids: Vec<&str> = chain.stages.iter().map(|part| part.id.as_str()).collect();
    ids.sort_unstable();
    ids.windows(2).any(|pair| pair[0] == pair[1])
}
