//! The entries of a simulation: choice of chains, queueing, refusals and load reports.

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::chain::RoomLimits;
use dandelionroad_core::relay::DemandTable;
use dandelionroad_core::relay::SharedLoad;
use rand::Rng;

use super::SharingPolicy;
use super::chain_engine::ChainEngine;
use super::chain_entry::ChainEntry;
use super::chain_event::ChainEvent;
use super::chain_world::ChainWorld;
use super::chain_world::REPORT_INTERVAL_MS;
use super::chain_world::SERVICE;
use super::world_engines::HOP_DELAY_MS;

/// The maximum queueing time of a prompt at one engine is the target time to the first event divided by
/// this number, as in the relay.
const QUEUE_TIME_DIVISOR: f64 = 2.0;

/// The size of a load report without loads, including network headers, and the size of each load in it.
const EMPTY_REPORT_AND_LOAD_BYTES: [f64; 2] = [88.0, 12.0];

impl ChainWorld<'_> {
    /// Limits each entry to an equal share of each engine's KV memory: the rest counts as load of peers.
    pub(super) fn reserve_fixed_shares(&mut self) {
        let count = self.entries.len() as f64;
        let pairs = self.engine_ids.iter().zip(&self.engines);
        let entry = &self.entries[0];
        let load = |(id, engine): (&String, &ChainEngine)| SharedLoad {
            tag: entry.table.get(id).map_or(0, |entry| entry.tag),
            requests: 0,
            units: engine.kv_capacity * (1.0 - 1.0 / count),
            prefill_tokens: 0.0,
        };
        let loads: Vec<SharedLoad> = pairs.map(load).collect();
        for entry in &mut self.entries {
            entry.table.set_peer_loads(&loads);
        }
    }

    /// Finds a chain for a request with the loads that its entry knows.
    pub(super) fn find_chain(&mut self, request: usize) -> Option<FoundChain> {
        let state = &self.requests[request];
        let entry = state.entry;
        if self.setup.policy == SharingPolicy::Truth {
            self.update_peer_loads(entry, true);
        }
        let state = &self.requests[request];
        let own = &self.entries[entry];
        let finder_request = FinderRequest {
            tokens: state.size.reserved_tokens(self.setup.shape.usual_answer),
            is_resumed: false,
            ignores_refusals: false,
            zone: &own.zone,
            excluded: &[],
            may_cross: false,
            limits: RoomLimits::whole(state.target_ms as f64 / QUEUE_TIME_DIVISOR),
            seed: request as u64,
            now: self.now(),
        };
        ChainFinder::new(&own.table, SERVICE, self.setup.shape).find(&finder_request)
    }

    /// Sends a request to its chain and counts its load there.
    ///
    /// The request is refused if an engine of the chain lacks the memory for its prompt.
    pub(super) fn send(&mut self, request: usize, chain: &FoundChain) {
        self.tally.record_sent();
        let reserved = self.requests[request]
            .size
            .reserved_tokens(self.setup.shape.usual_answer);
        let prompt = f64::from(self.requests[request].size.prompt_tokens);
        let mut stages = Vec::new();
        for stage in &chain.stages {
            let Some(index) = self.engine_ids.iter().position(|id| *id == stage.id) else {
                return;
            };
            stages.push((
                index,
                reserved * f64::from(stage.layers.len()),
                stage.layers.len(),
            ));
        }
        let lacks_memory = stages.iter().any(|(index, _, layers)| {
            let engine = &self.engines[*index];
            engine.kv_used + prompt * f64::from(*layers) > engine.kv_capacity
        });
        if lacks_memory {
            self.tally.record_rejected();
            self.refuse(request);
            return;
        }
        let entry = self.requests[request].entry;
        for (index, units, layers) in &stages {
            let table = &mut self.entries[entry].table;
            table.add_request(&self.engine_ids[*index], *units);
            table.add_prefill(&self.engine_ids[*index], prompt);
            let engine = &mut self.engines[*index];
            engine.kv_used += prompt * f64::from(*layers);
            engine.running.push(request);
        }
        self.requests[request].stages = stages;
        self.requests[request].is_prefilling = true;
        self.schedule_after(
            HOP_DELAY_MS,
            ChainEvent::Hop {
                request,
                stage: 0,
                is_prompt: true,
            },
        );
    }

    /// Sends the waiting requests in the order of the queue, until one finds no chain.
    pub(super) fn serve_waiting(&mut self, entry: usize) {
        while let Some(first) = self.entries[entry].queue.first() {
            let waiting = &self.entries[entry].waiting;
            let found = waiting.iter().position(|waiting| waiting.number == first);
            let Some(position) = found else { return };
            let request = waiting[position].request;
            let Some(chain) = self.find_chain(request) else {
                return;
            };
            self.entries[entry].waiting.remove(position);
            self.entries[entry].queue.remove(first);
            self.send(request, &chain);
        }
    }

    /// Refuses a request that has waited for the maximum time.
    pub(super) fn time_out_wait(&mut self, entry: usize, number: u64) {
        let waiting = &self.entries[entry].waiting;
        let found = waiting.iter().position(|waiting| waiting.number == number);
        if let Some(position) = found {
            let request = self.entries[entry].waiting.remove(position).request;
            self.entries[entry].queue.remove(number);
            self.refuse(request);
        }
    }

    /// Counts a request as refused, needlessly if there was free memory for its prompt.
    pub(super) fn refuse(&mut self, request: usize) {
        let state = &self.requests[request];
        let tokens = f64::from(state.size.prompt_tokens);
        let is_surge = self.is_surge();
        let has_capacity = self.has_capacity(tokens);
        self.tally
            .record_refused(has_capacity, is_surge, state.account > 0);
    }

    /// Returns whether the engines of some availability zone have free memory for a prompt at every
    /// layer.
    pub(super) fn has_capacity(&self, tokens: f64) -> bool {
        let zones = self
            .setup
            .fleet
            .entries
            .iter()
            .map(|fleet_count| &fleet_count.zone);
        let placed = || {
            self.setup
                .engines
                .iter()
                .filter(|engine| !engine.layers.is_empty())
        };
        zones.into_iter().any(|zone| {
            (0..self.setup.shape.layers).all(|layer| {
                placed().zip(&self.engines).any(|(engine, state)| {
                    let holds = engine.layers.first <= layer && layer < engine.layers.end;
                    let need = tokens * f64::from(engine.layers.len());
                    holds && engine.zone == *zone && state.kv_used + need <= state.kv_capacity
                })
            })
        })
    }

    /// Sends a load report of an entry, updates its table from the reports of the others and serves its
    /// waiting requests.
    ///
    /// Also samples the memory use and the busy engines.
    pub(super) fn send_report(&mut self, entry: usize) {
        self.schedule_after(REPORT_INTERVAL_MS, ChainEvent::Report(entry));
        self.entries[entry].refresh_reports();
        let count = self.engines.len().max(1) as f64;
        let used = self
            .engines
            .iter()
            .map(|engine| engine.kv_used / engine.kv_capacity.max(1.0));
        let busy = self.engines.iter().filter(|engine| engine.pass.is_some());
        self.tally
            .record_sample(used.sum::<f64>() / count, busy.count() as f64 / count);
        let own = &self.entries[entry];
        let is_same_zone = |other: &&ChainEntry| other.zone == own.zone;
        let zone_peers = self.entries.iter().filter(is_same_zone).count() - 1;
        let remote_peers = self.entries.len() - 1 - zone_peers;
        let bytes = EMPTY_REPORT_AND_LOAD_BYTES[0]
            + EMPTY_REPORT_AND_LOAD_BYTES[1] * own.zone_report.len() as f64;
        let copies = zone_peers as f64 + remote_peers as f64 / 2.0;
        match self.setup.policy {
            SharingPolicy::Alone | SharingPolicy::FixedShares | SharingPolicy::Truth => {}
            SharingPolicy::Reports | SharingPolicy::DividedReports => {
                self.tally.record_report_bytes(bytes * copies);
                self.update_peer_loads(entry, false);
            }
        }
        let rounding_offset = self.rng.random();
        let zones: Vec<String> = self.entries.iter().map(|own| own.zone.clone()).collect();
        let entries_in_zone = |zone: &str| zones.iter().filter(|own| *own == zone).count() as u32;
        if self.setup.policy == SharingPolicy::DividedReports {
            // The simulated services aren't under shortage control.
            let demand = DemandTable::new(&self.entries[entry].zone);
            self.entries[entry]
                .table
                .divide_capacity(entries_in_zone, &demand, rounding_offset);
        }
        self.serve_waiting(entry);
    }

    /// Sets the loads of the other entries in an entry's table: the current loads if `uses_current`,
    /// otherwise those of the last reports.
    pub(super) fn update_peer_loads(&mut self, entry: usize, uses_current: bool) {
        let zone = self.entries[entry].zone.clone();
        let mut loads = Vec::new();
        for (number, other) in self.entries.iter_mut().enumerate() {
            if number == entry {
                continue;
            }
            if uses_current {
                let report_rounds = other.report_rounds;
                other.refresh_reports();
                other.report_rounds = report_rounds;
            }
            let report = match other.zone == zone || uses_current {
                true => &other.zone_report,
                false => &other.remote_report,
            };
            loads.extend_from_slice(report);
        }
        self.entries[entry].table.set_peer_loads(&loads);
    }
}
