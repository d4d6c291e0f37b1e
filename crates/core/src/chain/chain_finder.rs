use crate::relay::EngineEntry;
use crate::relay::EngineTable;
use crate::relay::ModelShape;
use crate::route::mix_seed;
use crate::stream::LayerRange;
use crate::time::MilliTime;

use super::ChainShortage;
use super::FinderRequest;
use super::FoundChain;
use super::RoomShortage;
use super::ZoneShortage;
use super::chain_candidate::ChainCandidate;
use super::chain_search::ChainSearch;

/// The share of an engine's KV memory that the finder allocates to requests.
///
/// The rest absorbs answers that exceed their estimated length. An engine that runs out of memory
/// preempts running streams.
const MEMORY_SHARE: f64 = 0.95;

/// The relative increase in the cost of an engine whose KV memory is fully allocated; 1 doubles the
/// cost.
///
/// It spreads requests before memory runs out, so that large requests still find an engine with
/// enough.
const FULL_ENGINE_PENALTY: f64 = 1.0;

/// The maximum share of an engine's memory, and of the time in which prompts may wait there, that is kept free for the
/// reserved work of other requests.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// The maximum of the relative increase in the cost of an engine, which is drawn at random for each
/// request.
///
/// Without it, processes that decide on the same load reports, some hundred milliseconds old, would all
/// choose the same chain until the next reports.
const MAX_JITTER: f64 = 0.25;

/// Finds the chain with the lowest expected time of a token step.
///
/// The expected time of an engine grows with its running requests and the memory that they use, so
/// that requests spread over different kinds of accelerators in proportion to their speed.
#[derive(Clone, Copy, Debug)]
pub struct ChainFinder<'a> {
    table: &'a EngineTable,
    service: &'a str,
    shape: &'a ModelShape,
}

impl<'a> ChainFinder<'a> {
    /// Creates a finder for the engines of `service`, which run a model of this shape.
    pub fn new(table: &'a EngineTable, service: &'a str, shape: &'a ModelShape) -> ChainFinder<'a> {
        ChainFinder {
            table,
            service,
            shape,
        }
    }

    pub(super) fn shape(&self) -> &'a ModelShape {
        self.shape
    }

    /// Returns the chain with the lowest cost; none if no chain can run the request.
    pub fn find(&self, request: &FinderRequest<'_>) -> Option<FoundChain> {
        let candidates = self.candidates(request);
        let chain = ChainSearch::new(self.shape.layers, &candidates, request).run(true)?;
        if has_repeated_engine(&chain) {
            // An engine may not appear twice, which needs a stage that ends before the range of its
            // engine.
            return ChainSearch::new(self.shape.layers, &candidates, request).run(false);
        }
        Some(chain)
    }

    /// Returns why each availability zone has no chain, at its first layer that no engine can run.
    pub fn shortages(&self, request: &FinderRequest<'_>) -> Vec<ZoneShortage<'a>> {
        let candidates = self.candidates(request);
        let shortage = |zone| ZoneShortage {
            zone,
            shortage: self.zone_shortage(zone, &candidates, request),
        };
        self.zones().into_iter().map(shortage).collect()
    }

    /// Returns the time until which no availability zone has a chain because of the pauses that its engines have asked
    /// for; `None` if some zone has one without them, or if all engines of a layer are gone.
    pub fn pause_end(&self, now: MilliTime) -> Option<MilliTime> {
        let paused_until = |entry: &EngineEntry| Some(entry.paused_until);
        let ends = self
            .zones()
            .into_iter()
            .filter_map(|zone| self.zone_start(zone, paused_until));
        ends.min().filter(|end| *end > now)
    }

    /// Returns the time until which no availability zone has a chain because engines are silent that may be sound;
    /// `None` if some zone has one, or if none will have one then. Engines in `excluded` are left out.
    pub fn silence_end(&self, excluded: &[String], now: MilliTime) -> Option<MilliTime> {
        let usable_at = |entry: &EngineEntry| match entry.is_usable(now) {
            _ if excluded.contains(&entry.record.id) => None,
            true => Some(MilliTime::default()),
            false if entry.accepts_work(now) => entry.marks.silence_end(now),
            false => None,
        };
        let ends = self
            .zones()
            .into_iter()
            .filter_map(|zone| self.zone_start(zone, usable_at));
        ends.min().filter(|end| *end > now)
    }

    /// Returns the earliest time at which each layer has an engine in a zone, each of which is usable from the time
    /// that `usable_at` returns; `None` if a layer has none.
    fn zone_start(
        &self,
        zone: &str,
        usable_at: impl Fn(&EngineEntry) -> Option<MilliTime>,
    ) -> Option<MilliTime> {
        let mut start = MilliTime::default();
        for layer in 0..self.shape.layers {
            let covers = |range: LayerRange| range.first <= layer && layer < range.end;
            let holders = self
                .engines()
                .filter(|entry| zone_of(entry) == zone && covers(entry.record.layers));
            start = start.max(holders.filter_map(&usable_at).min()?);
        }
        Some(start)
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
            if !holders
                .clone()
                .any(|entry| self.is_eligible(entry, request))
            {
                return match holders.any(|entry| !entry.accepts_work(request.now)) {
                    true => ChainShortage::Paused(layer),
                    false => ChainShortage::Avoided(layer),
                };
            }
            if !candidates.iter().any(|candidate| {
                zone_of(candidate.entry) == zone && covers(candidate.layers, layer)
            }) {
                let reserved_tokens = self.reserved_per_engine(request);
                let reasons = holders
                    .filter_map(|entry| self.candidate(entry, request, reserved_tokens).err());
                let nearest = reasons.max_by_key(|reason| reason.nearness());
                return ChainShortage::Full(layer, nearest.unwrap_or(RoomShortage::Refused));
            }
        }
        ChainShortage::NoFreeSlot
    }

    /// Returns the time in which an engine prefills `tokens` of earlier prompts, in milliseconds, if one
    /// token step takes `step_ms`.
    ///
    /// An engine prefills one chunk in each pass, and a pass takes longer the more requests decode.
    fn prefill_ms(&self, tokens: f64, step_ms: f64) -> f64 {
        tokens / self.shape.chunk_tokens.max(1.0) * step_ms * self.shape.pass_steps
    }

    pub(super) fn is_eligible(&self, entry: &EngineEntry, request: &FinderRequest<'_>) -> bool {
        !request.excluded.contains(&entry.record.id) && entry.is_usable(request.now)
    }

    /// Returns the availability zones of the engines, sorted.
    pub(super) fn zones(&self) -> Vec<&'a str> {
        let mut zones: Vec<&str> = self.engines().map(zone_of).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    pub(super) fn engines(&self) -> impl Iterator<Item = &'a EngineEntry> + Clone + use<'a> {
        let (service, shape) = (self.service, self.shape);
        let entries = self.table.entries().iter();
        entries.filter(move |entry| {
            entry.record.service == service
                && !entry.is_ending()
                && !entry.record.layers.is_empty()
                && shape.contains(entry.record.layers)
        })
    }

    /// Returns the engines that have room for the request.
    fn candidates(&self, request: &FinderRequest<'_>) -> Vec<ChainCandidate<'a>> {
        let reserved_tokens = self.reserved_per_engine(request);
        let engines = self.engines();
        engines
            .filter_map(|entry| self.candidate(entry, request, reserved_tokens).ok())
            .collect()
    }

    /// Returns the tokens for which each engine keeps room: the reserved ones, divided among the chains that there
    /// can be, as many as usable engines hold the first layer.
    pub(super) fn reserved_per_engine(&self, request: &FinderRequest<'_>) -> f64 {
        if request.limits.reserved_tokens <= 0.0 {
            return 0.0;
        }
        let first = self
            .engines()
            .filter(|entry| entry.record.layers.first == 0 && self.is_eligible(entry, request));
        request.limits.reserved_tokens / first.count().max(1) as f64
    }

    /// Returns an engine as a candidate for a stage; it keeps room for `reserved_tokens` tokens.
    ///
    /// # Errors
    ///
    /// Returns what it lacks for the request.
    pub(super) fn candidate(
        &self,
        entry: &'a EngineEntry,
        request: &FinderRequest<'_>,
        reserved_tokens: f64,
    ) -> Result<ChainCandidate<'a>, RoomShortage> {
        let is_full = entry
            .marks
            .is_full_for(request.tokens, request.is_resumed, request.now);
        if is_full && !request.ignores_refusals || !self.is_eligible(entry, request) {
            return Err(RoomShortage::Refused);
        }
        let kind = entry.record.kind.as_deref();
        let kind = kind.and_then(|kind| self.shape.kind(kind));
        let kind = kind.ok_or(RoomShortage::Refused)?;
        let held = entry.record.layers.len();
        let capacity = self.shape.kv_capacity_units(kind.memory_mb, held)
            * MEMORY_SHARE
            * request.limits.memory_share;
        // Other processes report the reserved work, so that a wrong report must not block the engine.
        let reserved = (reserved_tokens * f64::from(held)).min(capacity * MAX_RESERVED_SHARE);
        let room = capacity - entry.units() - reserved;
        let free = room.max(0.0);
        let max_layers = (free / request.tokens.max(1.0)).min(f64::from(u16::MAX)) as u16;
        if max_layers == 0 {
            return Err(RoomShortage::Memory {
                missing_units: request.tokens - room,
            });
        }
        let mean_units = self.shape.mean_tokens() * f64::from(held);
        if entry.remaining_share(capacity, mean_units) <= 0.0 {
            return Err(RoomShortage::Share);
        }
        let used_share = 1.0 - (free / capacity.max(1.0)).clamp(0.0, 1.0);
        let requests = f64::from(entry.requests());
        let context = self.shape.usual_prompt + self.shape.usual_answer / 2.0;
        let decode_ms = self.shape.decode_ms(context);
        let loaded_ms = (self.shape.step_ms + decode_ms * requests) * kind.step_factor;
        let jitter = f64::from(mix_seed(request.seed ^ u64::from(entry.tag)) as u32);
        let jitter = 1.0 + MAX_JITTER * jitter / f64::from(u32::MAX);
        let layer_ms =
            loaded_ms * entry.slowdown * jitter * (1.0 + FULL_ENGINE_PENALTY * used_share)
                / f64::from(self.shape.layers.max(1));
        let slots = f64::from(entry.record.slots) * request.limits.memory_share;
        let step_ms = layer_ms * f64::from(held);
        let prefill_wait_ms = self.prefill_ms(entry.prefill_tokens(), step_ms);
        let max_reserved_ms = request.limits.queue_ms * MAX_RESERVED_SHARE;
        let reserved_ms = self
            .prefill_ms(reserved_tokens, step_ms)
            .min(max_reserved_ms);
        if prefill_wait_ms + reserved_ms > request.limits.queue_ms {
            return Err(RoomShortage::Prefill {
                excess_ms: prefill_wait_ms + reserved_ms - request.limits.queue_ms,
            });
        }
        Ok(ChainCandidate {
            entry,
            layers: entry.record.layers,
            layer_ms,
            unloaded_ms: self.shape.step_ms * kind.step_factor
                / f64::from(self.shape.layers.max(1)),
            prefill_wait_ms,
            max_layers: max_layers.min(held),
            has_free_slot: requests < slots,
        })
    }
}

fn zone_of(entry: &EngineEntry) -> &str {
    &entry.record.zone
}

fn has_repeated_engine(chain: &FoundChain) -> bool {
    let mut ids: Vec<&str> = chain.stages.iter().map(|part| part.id.as_str()).collect();
    ids.sort_unstable();
    ids.windows(2).any(|pair| pair[0] == pair[1])
}
