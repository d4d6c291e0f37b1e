//! The load of requests at the engines, and the division of their free memory among the processes.

use crate::relay::DemandTable;
use crate::relay::EngineEntry;
use crate::relay::SharedLoad;
use crate::route::hash_text;

use super::EngineTable;

impl EngineTable {
    /// Adds a request of this process with `units` of KV memory, in tokens times layers.
    pub fn add_request(&mut self, id: &str, units: f64) {
        if let Some(entry) = self.get_mut(id) {
            entry.own_requests += 1;
            entry.own_units += units;
        }
    }

    /// Removes a request of this process with `units` of KV memory.
    pub fn remove_request(&mut self, id: &str, units: f64) {
        if let Some(entry) = self.get_mut(id) {
            entry.own_requests = entry.own_requests.saturating_sub(1);
            entry.own_units = (entry.own_units - units).max(0.0);
        }
    }

    /// Adds prompt tokens of this process's requests that await prefill.
    pub fn add_prefill(&mut self, id: &str, tokens: f64) {
        if let Some(entry) = self.get_mut(id) {
            entry.own_prefill += tokens;
        }
    }

    /// Removes prompt tokens of this process's requests whose prefill has ended.
    pub fn remove_prefill(&mut self, id: &str, tokens: f64) {
        if let Some(entry) = self.get_mut(id) {
            entry.own_prefill = (entry.own_prefill - tokens).max(0.0);
        }
    }

    /// Returns the load of this process at each engine, to report it to the others.
    pub fn own_loads(&self) -> Vec<SharedLoad> {
        let busy = self.entries.iter().filter(|entry| entry.own_requests > 0);
        let load = |entry: &EngineEntry| SharedLoad {
            tag: entry.tag,
            requests: entry.own_requests,
            units: entry.own_units,
            prefill_tokens: entry.own_prefill,
        };
        busy.map(load).collect()
    }

    /// Replaces the load of other processes, by the engines' tags.
    pub fn set_peer_loads(&mut self, loads: &[SharedLoad]) {
        for entry in &mut self.entries {
            entry.peer_requests = 0;
            entry.peer_units = 0.0;
            entry.peer_prefill = 0.0;
        }
        for load in loads {
            let found = self
                .tags
                .binary_search_by_key(&load.tag, |position| position.0);
            if let Ok(index) = found {
                let entry = &mut self.entries[self.tags[index].1];
                entry.peer_requests += load.requests;
                entry.peer_units += load.units;
                entry.peer_prefill += load.prefill_tokens;
            }
        }
    }

    /// Divides the free KV memory of each engine among the processes that send to it, until the
    /// next division; see [`EngineEntry::remaining_share`]. `sharers` returns the number of
    /// processes that send to the engines of an availability zone; it is called once for each zone. The shares
    /// of engines whose service has demand in `demand` follow it.
    pub fn divide_capacity(
        &mut self,
        sharers: impl Fn(&str) -> u32,
        demand: &DemandTable,
        rounding_offset: f64,
    ) {
        let mut zones: Vec<(String, u32)> = Vec::new();
        for entry in &mut self.entries {
            let zone = &entry.record.zone;
            let found = zones.binary_search_by(|(known, _)| known.cmp(zone));
            let index = found.unwrap_or_else(|index| {
                zones.insert(index, (zone.clone(), sharers(zone)));
                index
            });
            entry.sharers = zones[index].1;
            let service = hash_text(0, &entry.record.service);
            let zone = &entry.record.zone;
            entry.demand_share = demand.own_weight(service, zone, entry.sharers);
            entry.rounding_offset = rounding_offset;
            entry.base_units = entry.own_units;
        }
    }
}
