use crate::route::hash_text;
use crate::time::MilliTime;

use super::EngineRecord;

/// A listed engine and what this process believes of it.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// The newest listing.
    pub record: EngineRecord,
    /// A short number for the identifier, the same in all processes.
    ///
    /// Among a few thousand engines, two share one in a thousand fleets at most; their loads are then
    /// counted for one of them.
    pub tag: u32,
    /// When it was first listed in this incarnation.
    pub listed_at: MilliTime,
    /// Whether the newest listing lacks it, which may be incomplete.
    pub(super) is_missing: bool,
    /// Until when no new work is sent to it after a failure.
    pub avoided_until: MilliTime,
    /// Until when it counts as dead, because it or another engine said so.
    pub suspected_until: MilliTime,
    /// Failures since the last success.
    pub failures: u32,
    /// Answers that broke off before their heads came since the last success.
    pub broken_answers: u32,
    /// Runs that were given up there as stalled since the last first event.
    pub stalls: u32,
    /// When one was counted last.
    pub last_stall: Option<MilliTime>,
    /// When it was last asked for its state because of a stall.
    pub last_probe: Option<MilliTime>,
    /// The requests of this process that it runs.
    pub own_requests: u32,
    /// The memory that the requests of this process take there, in tokens times layers.
    pub own_units: f64,
    /// The prompt tokens of this process's requests that have no first event yet.
    pub own_prefill: f64,
    /// The prompt tokens of other processes' requests that had no first event yet.
    pub peer_prefill: f64,
    /// The requests that other processes reported last.
    pub peer_requests: u32,
    /// The memory that the requests of other processes take, in tokens times layers.
    pub peer_units: f64,
    /// The processes that send requests to it.
    pub sharers: u32,
    /// Which of the shares of this engine's room that are no whole request falls to this process;
    /// from 0 to below 1.
    pub rounding_offset: f64,
    /// The memory that the requests of this process took when the room was last divided.
    pub base_units: f64,
    /// The factor on the times of the other engines; 1 unless it is slow.
    pub slowdown: f64,
    /// The least time of events over that of a lone request that was seen lately.
    pub(super) latency_ratio: f64,
    /// When that was seen last.
    pub(super) ratio_updated: MilliTime,
}

impl EngineEntry {
    pub(super) fn new(record: EngineRecord, now: MilliTime) -> EngineEntry {
        EngineEntry {
            tag: hash_text(0, &record.id) as u32,
            record,
            listed_at: now,
            is_missing: false,
            avoided_until: MilliTime::default(),
            suspected_until: MilliTime::default(),
            failures: 0,
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
            rounding_offset: 0.0,
            base_units: 0.0,
            slowdown: 1.0,
            latency_ratio: 0.0,
            ratio_updated: now,
        }
    }

    /// Returns whether new work may be sent to it.
    pub fn is_usable(&self, now: MilliTime) -> bool {
        !self.record.is_draining && self.avoided_until <= now
    }

    /// Returns the prompt tokens that it has to read before a new prompt, as far as known.
    pub fn prefill_tokens(&self) -> f64 {
        self.own_prefill + self.peer_prefill
    }

    /// Returns whether it was found dead lately.
    pub fn is_suspected(&self, now: MilliTime) -> bool {
        self.suspected_until > now
    }

    /// Returns the requests of all processes that it runs, as far as known.
    pub fn requests(&self) -> u32 {
        self.own_requests + self.peer_requests
    }

    /// Returns the memory of the requests of all processes, in tokens times layers.
    pub fn units(&self) -> f64 {
        self.own_units + self.peer_units
    }

    /// Returns the memory that this process may give out until the room is divided again, of `room` in
    /// all and `usual` for a usual request.
    ///
    /// Without division, all processes fill the same free room before they hear of each other. Where
    /// less than a request is free for each, chance decides whose turn it is; the last request may
    /// exceed the share, so that large ones are served as well.
    pub fn remaining_share(&self, room: f64, usual: f64) -> f64 {
        if self.sharers <= 1 {
            return f64::MAX;
        }
        let free = room - self.base_units - self.peer_units;
        let share = free / usual.max(1e-9) / f64::from(self.sharers);
        (share + self.rounding_offset).floor() * usual - (self.own_units - self.base_units)
    }
}
