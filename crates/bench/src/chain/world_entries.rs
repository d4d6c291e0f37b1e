//! What entries do in a simulation.

use dandelionroad_core::chain::ChainFinder;
use dandelionroad_core::chain::FinderRequest;
use dandelionroad_core::chain::FoundChain;
use dandelionroad_core::relay::SharedLoad;
use rand::Rng;

use super::SharingPolicy;
use super::chain_engine::ChainEngine;
use super::chain_entry::ChainEntry;
use super::chain_event::ChainEvent;
use super::chain_world::ChainWorld;
use super::chain_world::REPORT_MS;
use super::chain_world::SERVICE;
use super::world_engines::HOP_MS;

/// The share of the wanted time to the first event that a prompt may wait at an engine, as in the
/// product.
const CHAIN_WAIT_DIVISOR: f64 = 2.0;

/// The bytes of a report besides its loads, with the headers of the network, and of each load.
const REPORT_BYTES: [f64; 2] = [88.0, 12.0];

impl ChainWorld<'_> {
    /// Has each entry leave the other entries' shares of the memory free.
    pub(super) fn fix_shares(&mut self) {
        let count = self.entries.len() as f64;
        let pairs = self.ids.iter().zip(&self.engines);
        let entry = &self.entries[0];
        let load = |(id, engine): (&String, &ChainEngine)| SharedLoad {
            tag: entry.table.get(id).map_or(0, |entry| entry.tag),
            requests: 0,
            units: engine.room * (1.0 - 1.0 / count),
            prefill_tokens: 0.0,
        };
        let loads: Vec<SharedLoad> = pairs.map(load).collect();
        for entry in &mut self.entries {
            entry.table.set_peer_loads(&loads);
        }
    }

    pub(super) fn find(&mut self, request: usize) -> Option<FoundChain> {
        let spec = &self.requests[request];
        let entry = spec.entry;
        if self.setup.policy == SharingPolicy::Truth {
            self.hear(entry, true);
        }
        let spec = &self.requests[request];
        let own = &self.entries[entry];
        let asked = FinderRequest {
            tokens: spec.size.reserved_tokens(self.setup.shape.usual_answer),
            zone: &own.zone,
            excluded: &[],
            may_cross: false,
            max_wait_ms: spec.target_ms as f64 / CHAIN_WAIT_DIVISOR,
            seed: request as u64,
            now: self.clock(),
        };
        ChainFinder::new(&own.table, SERVICE, self.setup.shape).find(&asked)
    }

    pub(super) fn send(&mut self, request: usize, chain: &FoundChain) {
        self.tally.sent();
        let reserved = self.requests[request]
            .size
            .reserved_tokens(self.setup.shape.usual_answer);
        let prompt = f64::from(self.requests[request].size.prompt_tokens);
        let mut parts = Vec::new();
        for part in &chain.stages {
            let Some(index) = self.ids.iter().position(|id| *id == part.id) else {
                return;
            };
            parts.push((
                index,
                reserved * f64::from(part.layers.len()),
                part.layers.len(),
            ));
        }
        let is_full = parts.iter().any(|(index, _, held)| {
            let engine = &self.engines[*index];
            engine.used + prompt * f64::from(*held) > engine.room
        });
        if is_full {
            self.tally.rejected();
            self.refuse(request);
            return;
        }
        let entry = self.requests[request].entry;
        for (index, units, held) in &parts {
            let table = &mut self.entries[entry].table;
            table.add_request(&self.ids[*index], *units);
            table.add_prefill(&self.ids[*index], prompt);
            let engine = &mut self.engines[*index];
            engine.used += prompt * f64::from(*held);
            engine.running.push(request);
        }
        self.requests[request].chain = parts;
        self.requests[request].is_reading = true;
        self.after(
            HOP_MS,
            ChainEvent::Hop {
                request,
                part: 0,
                is_prompt: true,
            },
        );
    }

    /// Sends the requests whose turn it is, as long as there is room.
    pub(super) fn serve_waiting(&mut self, entry: usize) {
        while let Some(first) = self.entries[entry].queue.first() {
            let waiting = &self.entries[entry].waiting;
            let found = waiting.iter().position(|waiting| waiting.number == first);
            let Some(position) = found else { return };
            let request = waiting[position].request;
            let Some(chain) = self.find(request) else {
                return;
            };
            self.entries[entry].waiting.remove(position);
            self.entries[entry].queue.remove(first);
            self.send(request, &chain);
        }
    }

    pub(super) fn end_wait(&mut self, entry: usize, number: u64) {
        let waiting = &self.entries[entry].waiting;
        let found = waiting.iter().position(|waiting| waiting.number == number);
        if let Some(position) = found {
            let request = self.entries[entry].waiting.remove(position).request;
            self.entries[entry].queue.remove(number);
            self.refuse(request);
        }
    }

    pub(super) fn refuse(&mut self, request: usize) {
        let spec = &self.requests[request];
        let tokens = f64::from(spec.size.prompt_tokens);
        let is_surge = self.is_surge();
        let has_room = self.has_room(tokens);
        self.tally.refused(has_room, is_surge, spec.account > 0);
    }

    /// Returns whether the engines of some zone have room for a prompt at every layer.
    pub(super) fn has_room(&self, tokens: f64) -> bool {
        let zones = self.setup.fleet.entries.iter().map(|line| &line.zone);
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
                    holds && engine.zone == *zone && state.used + need <= state.room
                })
            })
        })
    }

    pub(super) fn report(&mut self, entry: usize) {
        self.after(REPORT_MS, ChainEvent::Report(entry));
        self.entries[entry].tell();
        let count = self.engines.len().max(1) as f64;
        let used = self
            .engines
            .iter()
            .map(|engine| engine.used / engine.room.max(1.0));
        let busy = self.engines.iter().filter(|engine| engine.pass.is_some());
        self.tally
            .sample(used.sum::<f64>() / count, busy.count() as f64 / count);
        let own = &self.entries[entry];
        let same = |other: &&ChainEntry| other.zone == own.zone;
        let near = self.entries.iter().filter(same).count() - 1;
        let far = self.entries.len() - 1 - near;
        let bytes = REPORT_BYTES[0] + REPORT_BYTES[1] * own.near_report.len() as f64;
        let copies = near as f64 + far as f64 / 2.0;
        match self.setup.policy {
            SharingPolicy::Alone | SharingPolicy::FixedShares | SharingPolicy::Truth => {}
            SharingPolicy::Reports | SharingPolicy::DividedReports => {
                self.tally.told(bytes * copies);
                self.hear(entry, false);
            }
        }
        let draw = self.rng.random();
        let zones: Vec<String> = self.entries.iter().map(|own| own.zone.clone()).collect();
        let sharers = |zone: &str| zones.iter().filter(|own| *own == zone).count() as u32;
        if self.setup.policy == SharingPolicy::DividedReports {
            self.entries[entry].table.divide_capacity(sharers, draw);
        }
        self.serve_waiting(entry);
    }

    /// Takes the other entries' loads into an entry's table, as reported or as they are now.
    pub(super) fn hear(&mut self, entry: usize, is_now: bool) {
        let zone = self.entries[entry].zone.clone();
        let mut loads = Vec::new();
        for (number, other) in self.entries.iter_mut().enumerate() {
            if number == entry {
                continue;
            }
            if is_now {
                let rounds = other.rounds;
                other.tell();
                other.rounds = rounds;
            }
            let report = match other.zone == zone || is_now {
                true => &other.near_report,
                false => &other.far_report,
            };
            loads.extend_from_slice(report);
        }
        self.entries[entry].table.set_peer_loads(&loads);
    }
}
