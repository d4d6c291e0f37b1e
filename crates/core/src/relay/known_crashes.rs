use crate::time::MilliTime;

use super::EngineCrash;
use super::RunPhase;
use super::known_crash::KnownCrash;

/// How long a crash is kept after its request was last seen, in milliseconds.
///
/// A request that crashes engines is sent again within seconds. A request that ran beside one by
/// chance is not refused for longer than this.
const RETENTION_MS: u64 = 60_000;

/// How long a crash is announced to the other processes, in milliseconds.
///
/// Datagrams may be lost, and a process that starts in the meantime needs the crash as well.
const ANNOUNCE_MS: u64 = 10_000;

/// The maximum number of crashes that are kept; the oldest request is dropped first.
///
/// A crash of an engine breaks off about 200 runs at most.
const MAX_CRASHES: usize = 512;

/// The crashes that are attributed to requests, in the order in which they were recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownCrashes {
    crashes: Vec<KnownCrash>,
}

impl KnownCrashes {
    pub(super) fn len(&self) -> usize {
        self.crashes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    pub(super) fn iter(&self) -> std::slice::Iter<'_, KnownCrash> {
        self.crashes.iter()
    }

    /// Returns whether a crash of a request is known.
    pub(super) fn has_request(&self, fingerprint: &str) -> bool {
        let mut known = self.crashes.iter();
        known.any(|known| known.crash.fingerprint == fingerprint)
    }

    /// Returns whether the oldest request must be dropped before another crash is added; returns its fingerprint.
    pub(super) fn oldest_if_full(&self) -> Option<String> {
        let oldest = self.crashes.first()?;
        let is_full = self.crashes.len() >= MAX_CRASHES;
        is_full.then(|| oldest.crash.fingerprint.clone())
    }

    /// Adds the loss of an engine to a request that was seen at `seen_at`; returns whether it is new or in an earlier
    /// phase than known.
    ///
    /// All crashes of a request expire together.
    pub(super) fn insert(
        &mut self,
        crash: &EngineCrash,
        phase: RunPhase,
        seen_at: MilliTime,
    ) -> bool {
        self.record_seen(&crash.fingerprint, seen_at);
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.crash == *crash) {
            let is_earlier = phase == RunPhase::Starting && known.phase != phase;
            if is_earlier {
                known.phase = phase;
                known.sends = 0;
            }
            return is_earlier;
        }
        self.announce(&crash.fingerprint, seen_at);
        self.crashes.push(KnownCrash {
            crash: crash.clone(),
            phase,
            seen_at,
            announced_from: seen_at,
            recorded_at: seen_at,
            sends: 0,
        });
        true
    }

    /// Keeps the crashes of a request for [`RETENTION_MS`] from `seen_at`.
    ///
    /// They are not announced for longer, or processes would remind each other of them without end.
    pub(super) fn record_seen(&mut self, fingerprint: &str, seen_at: MilliTime) {
        for known in self.of_request(fingerprint) {
            known.seen_at = known.seen_at.max(seen_at);
        }
    }

    /// Announces the crashes of a request for [`ANNOUNCE_MS`] from `from`.
    pub(super) fn announce(&mut self, fingerprint: &str, from: MilliTime) {
        for known in self.of_request(fingerprint) {
            known.announced_from = known.announced_from.max(from);
        }
    }

    /// Removes the crashes of an engine that were recorded before a time; returns whether there were any.
    pub(super) fn withdraw_engine(&mut self, engine: &str, before: MilliTime) -> bool {
        let count_before = self.crashes.len();
        self.crashes
            .retain(|known| known.crash.engine != engine || known.recorded_at >= before);
        self.crashes.len() < count_before
    }

    /// Removes the crashes of a request; returns whether there were any.
    pub(super) fn clear_request(&mut self, fingerprint: &str) -> bool {
        let count_before = self.crashes.len();
        self.crashes
            .retain(|known| known.crash.fingerprint != fingerprint);
        self.crashes.len() < count_before
    }

    /// Returns at most `limit` crashes in a phase to send to the other processes now: of those to announce, the ones
    /// that were sent least often.
    pub(super) fn take_reports(
        &mut self,
        limit: usize,
        phase: RunPhase,
        now: MilliTime,
    ) -> Vec<EngineCrash> {
        let due = self.crashes.iter_mut().filter(|known| known.phase == phase);
        let mut due: Vec<&mut KnownCrash> = due
            .filter(|known| now.since(known.announced_from) <= ANNOUNCE_MS)
            .collect();
        due.sort_by_key(|known| known.sends);
        due.truncate(limit);
        let report = |known: &mut KnownCrash| {
            known.sends += 1;
            known.crash.clone()
        };
        due.into_iter().map(report).collect()
    }

    /// Drops crashes that are too old to count.
    pub(super) fn expire(&mut self, now: MilliTime) {
        self.crashes
            .retain(|known| now.since(known.seen_at) <= RETENTION_MS);
    }

    fn of_request<'k>(
        &'k mut self,
        fingerprint: &'k str,
    ) -> impl Iterator<Item = &'k mut KnownCrash> {
        let known = self.crashes.iter_mut();
        known.filter(move |known| known.crash.fingerprint == fingerprint)
    }
}
