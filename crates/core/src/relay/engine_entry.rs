use crate::route::hash_text;
use crate::time::MilliTime;

use super::EngineMarks;
use super::EngineRecord;

/// A listed engine with this process's records of its load and failures.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// The record of the newest listing.
    pub record: EngineRecord,
    /// A 32-bit hash of the identifier, equal in all processes.
    ///
    /// In a fleet of a few thousand engines, the probability that two of them share a tag is at
    /// most one in a thousand; the load of both is then attributed to one of them.
    pub tag: u32,
    /// The time at which this incarnation was first listed.
    pub listed_at: MilliTime,
    /// Whether the newest listing, which may be incomplete, lacks the engine.
    pub(in crate::relay) is_missing: bool,
    /// The reasons for which no new work is sent to it.
    pub marks: EngineMarks,
    /// Whether it has said in an answer that it leaves.
    pub is_leaving: bool,
    /// The end of the time in which it has asked for no requests.
    pub paused_until: MilliTime,
    /// The number of answers since the last success that broke off before their heads arrived.
    pub broken_answers: u32,
    /// The number of runs that were aborted there as stalled since the last first event.
    pub stalls: u32,
    /// The time at which a stalled run was last counted.
    pub last_stall: Option<MilliTime>,
    /// The time of the last state probe after a stall.
    pub last_probe: Option<MilliTime>,
    /// The number of this process's requests that it runs.
    pub own_requests: u32,
    /// The KV memory of this process's requests, in tokens times layers.
    pub own_units: f64,
    /// The prompt tokens of this process's requests that have no first event yet.
    pub own_prefill: f64,
    /// The prompt tokens of other processes' requests that had no first event at their last
    /// reports.
    pub peer_prefill: f64,
    /// The number of other processes' requests at their last reports.
    pub peer_requests: u32,
    /// The KV memory of other processes' requests, in tokens times layers.
    pub peer_units: f64,
    /// The number of processes that send requests to it.
    pub sharers: u32,
    /// This process's share of the free memory by its demand, from 0 to 1; an even share if `None`.
    pub demand_share: Option<f64>,
    /// The random offset, from 0 to below 1, that is added to this process's share of the free
    /// memory before the share is rounded down to whole requests.
    ///
    /// Where less than one request is free for each process, it decides which processes may send
    /// one.
    pub rounding_offset: f64,
    /// The KV memory of this process's requests at the last division, in tokens times layers.
    pub base_units: f64,
    /// The multiplier on its expected times; 1 unless it is slower than the other engines.
    pub slowdown: f64,
    /// The recent minimum of its latency ratio: the time between two events of a run, divided by
    /// that time for a single request on the same chain.
    pub(super) latency_ratio: f64,
    /// The time of the last update of `latency_ratio`.
    pub(super) ratio_updated: MilliTime,
}

impl EngineEntry {
    pub(super) fn new(record: EngineRecord, now: MilliTime) -> EngineEntry {
        EngineEntry {
            tag: hash_text(0, &record.id) as u32,
            record,
            listed_at: now,
            is_missing: false,
            marks: EngineMarks::default(),
            is_leaving: false,
            paused_until: MilliTime::default(),
            broken_answers: 0,
            stalls: 0,
            last_stall: None,
            last_probe: None,
            own_requests: 0,
            own_units: 0.0,
            own_prefill: 0.0,
            peer_prefill: 0.0,
            peer_requests: 0,
            peer_units: 0.0,
            sharers: 1,
            demand_share: None,
            rounding_offset: 0.0,
            base_units: 0.0,
            slowdown: 1.0,
            latency_ratio: 0.0,
            ratio_updated: now,
        }
    }

    /// Returns whether new work may be sent to it.
    pub fn is_usable(&self, now: MilliTime) -> bool {
        self.accepts_work(now) && self.marks.avoided_until() <= now
    }

    /// Returns whether it takes new work, by its row in the list and by its answers.
    pub fn accepts_work(&self, now: MilliTime) -> bool {
        !self.is_ending() && self.paused_until <= now
    }

    /// Returns whether it takes no new work any more, by its row in the list or by its answers.
    pub fn is_ending(&self) -> bool {
        self.record.is_draining || self.is_leaving
    }

    /// Returns the number of prompt tokens that it has to prefill before a new prompt, as far as
    /// they are reported.
    pub fn prefill_tokens(&self) -> f64 {
        self.own_prefill + self.peer_prefill
    }

    /// Returns the number of requests that it runs for all processes, as far as they are reported.
    pub fn requests(&self) -> u32 {
        self.own_requests + self.peer_requests
    }

    /// Returns the KV memory of the requests that it runs for all processes, as far as they are
    /// reported, in tokens times layers.
    pub fn units(&self) -> f64 {
        self.own_units + self.peer_units
    }

    /// Returns the KV memory that this process may still assign before the next division, in tokens
    /// times layers. It is unlimited for the only process that sends requests.
    ///
    /// `capacity` is the KV memory of the engine and `request_units` the KV memory of a mean
    /// request, both in tokens times layers.
    ///
    /// Processes learn of each other's requests with a delay and would otherwise all fill the same
    /// free memory. The share is even, or follows the demand of the processes; see
    /// [`DemandTable::own_weight`](super::DemandTable::own_weight). Where less than one request is free for each process, `rounding_offset` decides
    /// at random which of them may send one. The last request may exceed the share, so that large
    /// requests are served as well.
    pub fn remaining_share(&self, capacity: f64, request_units: f64) -> f64 {
        if self.sharers <= 1 {
            return f64::MAX;
        }
        let free = capacity - self.base_units - self.peer_units;
        let requests = free / request_units.max(1e-9);
        let share = match self.demand_share {
            Some(part) => requests * part,
            None => requests / f64::from(self.sharers),
        };
        (share + self.rounding_offset).floor() * request_units - (self.own_units - self.base_units)
    }
}
