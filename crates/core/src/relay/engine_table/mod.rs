mod availability;
mod era_change;
mod listing_update;
mod shared_loads;

use crate::time::MilliTime;

use super::EngineAvailability;
use super::EngineEntry;
use super::EngineRecord;
use super::LifeSign;
use super::SuspicionCause;
use super::ended_incarnations::EndedIncarnations;
use super::listing_grace::ListingGrace;

/// The number of consecutive broken answers after which an engine is avoided.
///
/// An engine that loses 40 % of its answers reaches it after 65 answers on average.
const BROKEN_ANSWER_LIMIT: u32 = 4;

/// The number of stalled runs, without a first event between them, after which an engine is
/// avoided.
///
/// During a burst, other requests of the engine still get their first events, which reset the
/// count.
const STALL_LIMIT: u32 = 3;

/// The window in which the stalled runs of an engine count as one, in milliseconds.
const STALL_WINDOW_MS: u64 = 300;

/// The time for which a sign of life may end a suspicion, or a probe that leads to one, in milliseconds.
///
/// It covers the longest avoidance.
const SIGN_WAIT_MS: u64 = 6_000;

/// The multiple of the mean latency ratio from which on an engine counts as slow.
///
/// Load alone changes the latency ratios of chains by at most a factor of two.
const SLOW_FACTOR: f64 = 2.5;

/// The weight of a run's latency ratio in the moving average over all runs.
const MEAN_RATIO_WEIGHT: f64 = 0.02;

/// The weight with which a latency ratio above an engine's recorded minimum raises the minimum.
const RISE_WEIGHT: f64 = 0.3;

/// The time after which a recorded latency ratio is discarded, in milliseconds.
const RATIO_LIFETIME_MS: u64 = 3_000;

/// The listed engines with this process's records of their load, failures and latency.
///
/// The table holds what a process knows beyond the listing in the store: which engines to avoid
/// after failures, broken answers and stalled runs, which ones are slow, the load of its own
/// requests and the load that other processes report. An engine's state is dropped when a new
/// incarnation is listed. What it says in its answers outlives its row ([`EngineAvailability`]).
#[derive(Clone, Debug, Default)]
pub struct EngineTable {
    entries: Vec<EngineEntry>,
    /// The tag and the index in `entries` of each engine, sorted by tag.
    tags: Vec<(u32, usize)>,
    /// The moving average of the latency ratios of all runs.
    mean_ratio: f64,
    /// The grace period after an outage, in which missing entries are kept.
    grace: ListingGrace,
    /// The incarnations that left or were removed, which a restored copy of the store may list again.
    ended: EndedIncarnations,
    /// The time until which incarnations that were removed are not used although the list has them.
    held_back_until: MilliTime,
    /// The registrations of these incarnations.
    held_back: Vec<EngineRecord>,
    /// What engines say in their answers, copied into the entries.
    availability: EngineAvailability,
    /// The time until which signs of life may end a suspicion.
    signs_until: MilliTime,
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

    /// Returns the name of an engine's current incarnation, or its identifier if it is not listed.
    pub fn incarnation(&self, id: &str) -> String {
        let entry = self.get(id);
        entry.map_or_else(|| id.to_owned(), |entry| entry.record.incarnation())
    }

    /// Returns the engine with this identifier for updates of its load and failure records.
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

    /// Counts a failure and avoids the engine for a time that grows with consecutive failures.
    pub fn record_failure(&mut self, id: &str, now: MilliTime) {
        if let Some(entry) = self.get_mut(id) {
            entry.marks.record_failure(now);
        }
    }

    /// Counts an answer of a chain's first engine that broke off before its head arrived; avoids
    /// the engine after several in a row.
    ///
    /// An engine that is gone refuses the next connection, which avoids it at once. An engine that
    /// loses some of its answers still serves the others: if each loss avoided it, a fault that
    /// affects many engines would leave no first engine to choose.
    pub fn record_broken_answer(&mut self, id: &str, now: MilliTime) {
        let Some(entry) = self.get_mut(id) else {
            return;
        };
        entry.broken_answers += 1;
        if entry.broken_answers >= BROKEN_ANSWER_LIMIT {
            entry.broken_answers = 0;
            self.record_failure(id, now);
        }
    }

    /// Avoids an engine that counts as dead; returns whether this is new.
    ///
    /// Several requests find the same engine dead, which counts once. `asked_at` is the time at which the report
    /// was asked for that leads to the suspicion; see [`EngineMarks::suspect`](crate::relay::EngineMarks::suspect).
    pub fn suspect(
        &mut self,
        id: &str,
        cause: SuspicionCause,
        asked_at: MilliTime,
        now: MilliTime,
    ) -> bool {
        let entry = self.get_mut(id);
        let is_new = entry.is_some_and(|entry| entry.marks.suspect(cause, asked_at, now));
        if is_new {
            self.await_signs(SIGN_WAIT_MS, now);
        }
        is_new
    }

    /// Returns whether signs of life matter at present, because some engine is suspected or was asked for a report.
    pub fn awaits_signs(&self, now: MilliTime) -> bool {
        self.signs_until > now
    }

    /// Records a sign of life of an engine; returns whether it is not avoided any more for that reason.
    pub fn record_sign(&mut self, id: &str, sign: LifeSign, now: MilliTime) -> bool {
        self.get_mut(id)
            .is_some_and(|entry| entry.marks.record_sign(sign, now))
    }

    /// Records that an engine turned a request of `tokens` of context away as full; see
    /// [`EngineMarks::record_refusal`](crate::relay::EngineMarks::record_refusal).
    pub fn record_refusal(&mut self, id: &str, tokens: f64, is_resumed: bool, now: MilliTime) {
        if let Some(entry) = self.get_mut(id) {
            entry.marks.record_refusal(tokens, is_resumed, now);
        }
    }

    fn await_signs(&mut self, wait_ms: u64, now: MilliTime) {
        self.signs_until = self.signs_until.max(now.plus(wait_ms));
    }

    /// Counts a stalled run that was aborted; returns the engines that are avoided from now on.
    ///
    /// An engine may hang with its requests and still answer state probes. Nothing is counted if an
    /// engine of the run is avoided already, since that explains the stall, and runs that stall
    /// together count once.
    pub fn record_stall(&mut self, ids: &[&str], now: MilliTime) -> Vec<String> {
        let is_avoided = |id: &&str| {
            self.get(id)
                .is_some_and(|entry| entry.marks.avoided_until() > now)
        };
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
                .is_none_or(|stalled| now.since(stalled) >= STALL_WINDOW_MS);
            if !is_new {
                continue;
            }
            entry.last_stall = Some(now);
            entry.stalls += 1;
            if entry.stalls >= STALL_LIMIT {
                entry.stalls = 0;
                entry.marks.record_stalls(now);
                avoided.push((*id).to_owned());
            }
        }
        avoided
    }

    /// Returns whether the state of an engine may be probed now, at most once in `interval_ms`, and
    /// records the probe.
    pub fn try_start_probe(&mut self, id: &str, interval_ms: u64, now: MilliTime) -> bool {
        let Some(entry) = self.get_mut(id) else {
            return false;
        };
        let is_due = entry
            .last_probe
            .is_none_or(|probed| now.since(probed) >= interval_ms);
        if is_due {
            entry.last_probe = Some(now);
            self.await_signs(SIGN_WAIT_MS, now);
        }
        is_due
    }

    /// Updates the latency ratios of the engines of a run.
    ///
    /// The ratio is the time between two events of the run, divided by that time for a single request
    /// on the same chain. One slow engine raises the ratio of every engine of its chain. An engine
    /// that other chains use as well has a lower ratio in these, and the lower one is kept.
    pub fn observe_latency_ratio<'i>(
        &mut self,
        ids: impl Iterator<Item = &'i str>,
        latency_ratio: f64,
        now: MilliTime,
    ) {
        let mean = match self.mean_ratio > 0.0 {
            true => self.mean_ratio + (latency_ratio - self.mean_ratio) * MEAN_RATIO_WEIGHT,
            false => latency_ratio,
        };
        self.mean_ratio = mean;
        for id in ids {
            let Some(entry) = self.get_mut(id) else {
                continue;
            };
            let is_new = now.since(entry.ratio_updated) >= RATIO_LIFETIME_MS;
            entry.latency_ratio = match is_new || latency_ratio < entry.latency_ratio {
                true => latency_ratio,
                false => entry.latency_ratio + (latency_ratio - entry.latency_ratio) * RISE_WEIGHT,
            };
            entry.ratio_updated = now;
            let factor = entry.latency_ratio / mean.max(1e-9);
            entry.slowdown = if factor >= SLOW_FACTOR { factor } else { 1.0 };
        }
    }

    /// Resets the slowdown of engines without a recent latency ratio, so that they are tried again.
    pub fn expire_latency_ratios(&mut self, now: MilliTime) {
        for entry in &mut self.entries {
            if now.since(entry.ratio_updated) >= RATIO_LIFETIME_MS {
                entry.slowdown = 1.0;
            }
        }
    }

    /// Records that an engine has taken a request of `tokens` of context, which resets all failure counts.
    pub fn record_success(&mut self, id: &str, tokens: f64, is_resumed: bool) {
        if let Some(entry) = self.get_mut(id) {
            entry.marks.record_success();
            entry.marks.record_taken(tokens, is_resumed);
            entry.broken_answers = 0;
            entry.stalls = 0;
        }
    }

    fn index_tags(&mut self) {
        let tags = self.entries.iter().map(|entry| entry.tag);
        self.tags = tags.zip(0..).collect();
        self.tags.sort_unstable();
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.record.id.as_str().cmp(id))
    }
}
