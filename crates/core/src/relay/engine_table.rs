use crate::time::MilliTime;

use super::EngineEntry;
use super::EngineRecord;
use super::SharedLoad;
use super::engine_listing::in_order;
use super::engine_listing::listing_digest;
use super::listing_grace::ListingGrace;

/// How long an engine is avoided after one failure, in milliseconds.
///
/// Requests that depend on a dead engine stall for two seconds before they are cut off, so a shorter
/// time would send several rounds of requests to it.
const AVOID_MS: u64 = 2_000;

/// The longest time that an engine is avoided, in milliseconds.
const MAX_AVOID_MS: u64 = 6_000;

/// The answers in a row that break off before an engine is avoided.
///
/// One that loses two answers in five gets there after 65 answers in the mean.
const BREAK_LIMIT: u32 = 4;

/// The stalled runs, with no first event between them, after which an engine is avoided.
///
/// Under a burst, other requests of the engine get their first events meanwhile.
const STALL_LIMIT: u32 = 3;

/// The time within which stalled runs of an engine count once, in milliseconds.
const STALL_SPAN_MS: u64 = 300;

/// The factor on the usual pace from which on an engine counts as slow.
///
/// Load alone changes the pace of chains within a factor of two.
const SLOW_FACTOR: f64 = 2.5;

/// The weight of a run's pace in the usual one.
const USUAL_WEIGHT: f64 = 0.02;

/// The weight of a pace that is worse than the best one seen lately.
const RISE_WEIGHT: f64 = 0.3;

/// How long a pace is believed, in milliseconds.
const PACE_AGE_MS: u64 = 3_000;

/// The listed engines, sorted by identifier, with what this process believes of them.
#[derive(Clone, Debug, Default)]
pub struct EngineTable {
    entries: Vec<EngineEntry>,
    /// The digest of the newest listing.
    digest: u64,
    /// The moving average of the pace of all runs.
    usual_pace: f64,
    /// The time after an outage in which missing entries are kept.
    gap: ListingGrace,
}

impl EngineTable {
    /// Creates an empty table.
    pub fn new() -> EngineTable {
        EngineTable::default()
    }

    /// Returns the engines, sorted by identifier.
    pub fn entries(&self) -> &[EngineEntry] {
        &self.entries
    }

    /// Returns the engine with this identifier.
    pub fn get(&self, id: &str) -> Option<&EngineEntry> {
        self.position(id).ok().map(|index| &self.entries[index])
    }

    /// Returns the name of an engine's present incarnation; its identifier if it is not listed.
    pub fn incarnation(&self, id: &str) -> String {
        let entry = self.get(id);
        entry.map_or_else(|| id.to_owned(), |entry| entry.record.incarnation())
    }

    /// Returns the engine with this identifier for a change of what is believed of it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut EngineEntry> {
        let index = self.position(id).ok()?;
        Some(&mut self.entries[index])
    }

    /// Returns the engine at an address.
    pub fn at_address(&self, address: &str) -> Option<&EngineEntry> {
        let address: std::net::SocketAddr = address.parse().ok()?;
        self.entries
            .iter()
            .find(|entry| entry.record.address == address)
    }

    /// Returns a digest of the newest listing, equal in all processes that hold the same one.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes the end of an outage of the store, after which listings may be incomplete for a while if the held
    /// one was known to be the newest `held_ms` ago.
    pub fn end_outage(&mut self, held_ms: u64, now: MilliTime) {
        self.gap.end_outage(held_ms, now);
    }

    /// Returns the digest that a listing would have.
    pub fn digest_of(records: &[EngineRecord]) -> u64 {
        let records: Vec<&EngineRecord> = in_order(records.iter().collect());
        listing_digest(records.into_iter())
    }

    /// Replaces the listing; returns the identifiers that were added and those that were removed.
    pub fn replace(
        &mut self,
        records: Vec<EngineRecord>,
        now: MilliTime,
    ) -> (Vec<String>, Vec<String>) {
        let records = in_order(records);
        self.digest = listing_digest(records.iter());
        let mut old = std::mem::take(&mut self.entries);
        let mut added = Vec::new();
        for record in records {
            let known = old.binary_search_by(|entry| entry.record.id.cmp(&record.id));
            match known {
                Ok(index) if old[index].record.started_ms == record.started_ms => {
                    let mut entry = old.remove(index);
                    entry.record = record;
                    entry.is_missing = false;
                    self.entries.push(entry);
                }
                Ok(index) => {
                    // Another incarnation: nothing that was believed of the former holds.
                    old.remove(index);
                    added.push(record.id.clone());
                    self.entries.push(EngineEntry::new(record, now));
                }
                Err(_) => {
                    added.push(record.id.clone());
                    self.entries.push(EngineEntry::new(record, now));
                }
            }
        }
        let mut removed = Vec::new();
        for mut entry in old {
            if self.gap.is_open(now) && !entry.record.is_draining {
                entry.is_missing = true;
                self.entries.push(entry);
            } else {
                removed.push(entry.record.id);
            }
        }
        self.entries
            .sort_by(|left, right| left.record.id.cmp(&right.record.id));
        (added, removed)
    }

    /// Removes the engines that the newest listing lacks, once it counts as complete; returns their
    /// identifiers.
    ///
    /// A process that hears that its list is the newest reads no other one until there is a change, which
    /// may be long after the engine has left. `confirmed` is when the held list was last known to be the newest:
    /// the store may be away again before engines could be listed anew.
    pub fn remove_missing(&mut self, confirmed: MilliTime, now: MilliTime) -> Vec<String> {
        if !self.gap.is_closed(confirmed, now) {
            return Vec::new();
        }
        let missing = self.entries.extract_if(.., |entry| entry.is_missing);
        missing.map(|entry| entry.record.id).collect()
    }

    /// Counts a failure and avoids the engine for a time that grows with failures in a row.
    pub fn record_failure(&mut self, id: &str, now: MilliTime) {
        if let Some(entry) = self.get_mut(id) {
            entry.failures += 1;
            let avoid_ms = AVOID_MS
                .saturating_mul(u64::from(entry.failures))
                .min(MAX_AVOID_MS);
            entry.avoided_until = entry.avoided_until.max(now.plus(avoid_ms));
        }
    }

    /// Counts an answer of a first engine that broke off before its head came; avoids the engine after
    /// some in a row.
    ///
    /// An engine that is gone takes no further connection, which avoids it at once. One that loses a
    /// part of its answers still serves the rest: if each loss avoided it, a fault of many engines would
    /// leave none to start at.
    pub fn record_broken_answer(&mut self, id: &str, now: MilliTime) {
        let Some(entry) = self.get_mut(id) else {
            return;
        };
        entry.broken_answers += 1;
        if entry.broken_answers >= BREAK_LIMIT {
            entry.broken_answers = 0;
            self.record_failure(id, now);
        }
    }

    /// Avoids an engine that is said to be dead; returns whether that was not known.
    ///
    /// Several requests find the same engine dead, which counts once.
    pub fn suspect(&mut self, id: &str, now: MilliTime) -> bool {
        let is_new = self.get(id).is_some_and(|entry| !entry.is_suspected(now));
        if is_new {
            self.record_failure(id, now);
            if let Some(entry) = self.get_mut(id) {
                entry.suspected_until = entry.avoided_until;
            }
        }
        is_new
    }

    /// Counts a stalled run that was given up; returns the engines that are avoided from now on.
    ///
    /// An engine may hang with requests and answer questions about its state. Nothing is counted if an
    /// engine of the run is avoided already, as it explains the stall, and runs that stall together
    /// count once.
    pub fn record_stall(&mut self, ids: &[&str], now: MilliTime) -> Vec<String> {
        let is_avoided = |id: &&str| self.get(id).is_some_and(|entry| entry.avoided_until > now);
        if ids.iter().any(is_avoided) {
            return Vec::new();
        }
        let mut avoided = Vec::new();
        for id in ids {
            let Some(entry) = self.get_mut(id) else {
                continue;
            };
            let is_new = entry
                .last_stall
                .is_none_or(|stalled| now.since(stalled) >= STALL_SPAN_MS);
            if !is_new {
                continue;
            }
            entry.last_stall = Some(now);
            entry.stalls += 1;
            if entry.stalls >= STALL_LIMIT {
                entry.stalls = 0;
                self.record_failure(id, now);
                avoided.push((*id).to_owned());
            }
        }
        avoided
    }

    /// Returns whether an engine may be asked for its state, at most once in `interval_ms`.
    pub fn try_start_probe(&mut self, id: &str, interval_ms: u64, now: MilliTime) -> bool {
        let Some(entry) = self.get_mut(id) else {
            return false;
        };
        let is_due = entry
            .last_probe
            .is_none_or(|probed| now.since(probed) >= interval_ms);
        if is_due {
            entry.last_probe = Some(now);
        }
        is_due
    }

    /// Takes the pace of a run: the time of its events over that of a lone request on its chain.
    ///
    /// All engines of a chain with a slow one show its pace; those that other chains use as well show
    /// a better one there, which counts.
    pub fn observe_latency_ratio<'i>(
        &mut self,
        ids: impl Iterator<Item = &'i str>,
        pace: f64,
        now: MilliTime,
    ) {
        let usual = match self.usual_pace > 0.0 {
            true => self.usual_pace + (pace - self.usual_pace) * USUAL_WEIGHT,
            false => pace,
        };
        self.usual_pace = usual;
        for id in ids {
            let Some(entry) = self.get_mut(id) else {
                continue;
            };
            let is_new = now.since(entry.ratio_updated) >= PACE_AGE_MS;
            entry.latency_ratio = match is_new || pace < entry.latency_ratio {
                true => pace,
                false => entry.latency_ratio + (pace - entry.latency_ratio) * RISE_WEIGHT,
            };
            entry.ratio_updated = now;
            let factor = entry.latency_ratio / usual.max(1e-9);
            entry.slowdown = if factor >= SLOW_FACTOR { factor } else { 1.0 };
        }
    }

    /// Forgets the slowness of engines whose pace was not seen lately, so that they are tried again.
    pub fn expire_latency_ratios(&mut self, now: MilliTime) {
        for entry in &mut self.entries {
            if now.since(entry.ratio_updated) >= PACE_AGE_MS {
                entry.slowdown = 1.0;
            }
        }
    }

    /// Counts a success.
    pub fn record_success(&mut self, id: &str) {
        if let Some(entry) = self.get_mut(id) {
            entry.failures = 0;
            entry.broken_answers = 0;
            entry.stalls = 0;
        }
    }

    /// Adds a request of this process that takes `units` of memory.
    pub fn add_request(&mut self, id: &str, units: f64) {
        if let Some(entry) = self.get_mut(id) {
            entry.own_requests += 1;
            entry.own_units += units;
        }
    }

    /// Removes a request of this process.
    pub fn remove_request(&mut self, id: &str, units: f64) {
        if let Some(entry) = self.get_mut(id) {
            entry.own_requests = entry.own_requests.saturating_sub(1);
            entry.own_units = (entry.own_units - units).max(0.0);
        }
    }

    /// Adds prompt tokens of this process that are to be read.
    pub fn add_prefill(&mut self, id: &str, tokens: f64) {
        if let Some(entry) = self.get_mut(id) {
            entry.own_prefill += tokens;
        }
    }

    /// Removes prompt tokens of this process that were read.
    pub fn remove_prefill(&mut self, id: &str, tokens: f64) {
        if let Some(entry) = self.get_mut(id) {
            entry.own_prefill = (entry.own_prefill - tokens).max(0.0);
        }
    }

    /// Returns what this process runs, for the others.
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

    /// Replaces what other processes run, by the engines' tags.
    pub fn set_peer_loads(&mut self, loads: &[SharedLoad]) {
        for entry in &mut self.entries {
            entry.peer_requests = 0;
            entry.peer_units = 0.0;
            entry.peer_prefill = 0.0;
        }
        let tags = self.entries.iter().map(|entry| entry.tag);
        let mut positions: Vec<(u32, usize)> = tags.zip(0..).collect();
        positions.sort_unstable();
        for load in loads {
            let found = positions.binary_search_by_key(&load.tag, |position| position.0);
            if let Ok(index) = found {
                let entry = &mut self.entries[positions[index].1];
                entry.peer_requests += load.requests;
                entry.peer_units += load.units;
                entry.peer_prefill += load.prefill_tokens;
            }
        }
    }

    /// Divides the free room of each engine among the processes that send to it, as `sharers` tells for
    /// an availability zone, until the next division.
    pub fn divide_capacity(&mut self, sharers: impl Fn(&str) -> u32, rounding_offset: f64) {
        for entry in &mut self.entries {
            entry.sharers = sharers(&entry.record.zone);
            entry.rounding_offset = rounding_offset;
            entry.base_units = entry.own_units;
        }
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.record.id.as_str().cmp(id))
    }
}
