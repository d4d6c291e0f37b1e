use crate::time::MilliTime;

use super::PartChange;
use super::PromptPart;
use super::suspect_crash::SuspectCrash;

/// The time for which the loss of an engine counts against a part that is not refused, in milliseconds.
const MEMORY_MS: u64 = 60_000;

/// The time after its last crash for which a refused part is kept, in milliseconds.
const RETENTION_MS: u64 = 1_800_000;

/// The time from the last crash to the first probe after two lost engines, in milliseconds; each further engine
/// doubles it.
///
/// A probe with a fatal part costs another engine and the streams on it, so callers that repeat for half a minute
/// get none.
const FIRST_PROBE_DELAY_MS: u64 = 60_000;

/// The maximum time from the last crash to the next probe, in milliseconds.
const MAX_PROBE_DELAY_MS: u64 = 600_000;

/// The time by which each further process in the order of election waits longer until it probes, in
/// milliseconds; a probe's outcome is known to all processes by then.
const RANK_DELAY_MS: u64 = 1_000;

/// The maximum number of processes that probe one after the other.
const MAX_RANK: u32 = 10;

/// The number of times that a change is sent to the other processes, as datagrams may be lost.
pub(super) const CHANGE_SENDS: u8 = 3;

/// The maximum number of lost engines that are kept for a part.
const MAX_CRASHES: usize = 16;

/// The maximum number of lost engines that are kept as cleared for a part; the earliest is dropped first.
const MAX_CLEARED: usize = 8;

/// A prompt part under which engines were lost since it was last served.
#[derive(Clone, Debug)]
pub(super) struct SuspectPart {
    pub(super) part: PromptPart,
    /// The last position at which the part stood in the prompt of a run that broke off.
    pub(super) position: u8,
    /// Sorted by engine; empty after the part was cleared.
    pub(super) crashes: Vec<SuspectCrash>,
    /// The engines that no longer count, in the order in which they were cleared.
    ///
    /// Without them, a report that was held up would revive a cleared crash.
    pub(super) cleared: Vec<u64>,
    pub(super) is_refused: bool,
    /// The time of the last probe of this process.
    pub(super) probed_at: Option<MilliTime>,
    /// How often the part is still to be sent to the other processes.
    sends_left: u8,
    /// Whether there is a change that was not sent yet.
    pub(super) is_unsent: bool,
    /// The time at which an engine was last added or cleared.
    changed_at: MilliTime,
    /// The number of crashes in the last change.
    logged_crashes: usize,
}

impl SuspectPart {
    pub(super) fn new(part: PromptPart) -> SuspectPart {
        SuspectPart {
            part,
            position: 0,
            crashes: Vec::new(),
            cleared: Vec::new(),
            is_refused: false,
            probed_at: None,
            sends_left: 0,
            is_unsent: false,
            changed_at: MilliTime::default(),
            logged_crashes: 0,
        }
    }

    /// Adds a lost engine; returns whether it is new and not cleared.
    pub(super) fn insert(&mut self, engine: u64, position: u8, at: MilliTime) -> bool {
        if self.cleared.contains(&engine) {
            return false;
        }
        self.position = self.position.max(position);
        let found = self
            .crashes
            .binary_search_by_key(&engine, |crash| crash.engine);
        let Err(index) = found else { return false };
        if self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.crashes.insert(index, SuspectCrash { engine, at });
        self.changed_at = self.changed_at.max(at);
        true
    }

    /// Returns whether the loss of an engine counts against the part and was before a time.
    pub(super) fn has_crash_before(&self, engine: u64, time: MilliTime) -> bool {
        let found = self
            .crashes
            .binary_search_by_key(&engine, |crash| crash.engine);
        found.is_ok_and(|index| self.crashes[index].at < time)
    }

    /// Clears all lost engines; returns whether there were any.
    pub(super) fn clear_all(&mut self, now: MilliTime) -> bool {
        let engines: Vec<u64> = self.crashes.iter().map(|crash| crash.engine).collect();
        for engine in &engines {
            self.clear(*engine, now);
        }
        !engines.is_empty()
    }

    /// Clears a lost engine, also one that is not known yet; returns whether this is new.
    pub(super) fn clear(&mut self, engine: u64, now: MilliTime) -> bool {
        if self.cleared.contains(&engine) {
            return false;
        }
        self.crashes.retain(|crash| crash.engine != engine);
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared.remove(0);
        }
        self.cleared.push(engine);
        self.changed_at = now;
        true
    }

    /// Sets whether the part is refused; returns the change to log, if any.
    pub(super) fn set_refused(&mut self, is_refused: bool) -> Option<PartChange> {
        let was_refused = std::mem::replace(&mut self.is_refused, is_refused);
        let engines = self.crashes.len();
        let logged = std::mem::replace(&mut self.logged_crashes, engines);
        let part = self.part;
        match (was_refused, is_refused) {
            (false, true) => {
                self.announce(CHANGE_SENDS);
                Some(PartChange::Refused { part, engines })
            }
            (true, false) => Some(PartChange::Cleared { part }),
            _ if engines > logged => Some(PartChange::Suspected { part, engines }),
            _ if engines == 0 && logged > 0 => Some(PartChange::Cleared { part }),
            _ => None,
        }
    }

    /// Returns whether a request with the refused part may be admitted as a probe.
    pub(super) fn may_probe(&self, rank: u32, now: MilliTime) -> bool {
        let further = self.crashes.len().saturating_sub(2) as u32;
        let probe_delay_ms =
            FIRST_PROBE_DELAY_MS.saturating_mul(1 << further.min(MAX_CRASHES as u32));
        let probe_delay_ms = probe_delay_ms.min(MAX_PROBE_DELAY_MS);
        let rank_delay_ms = u64::from(rank.min(MAX_RANK)) * RANK_DELAY_MS;
        // A probe that no engine runs tells nothing, and the next one waits as long.
        let has_waited = |at: MilliTime| now.since(at) >= probe_delay_ms + rank_delay_ms;
        has_waited(self.last_crash()) && self.probed_at.is_none_or(has_waited)
    }

    /// Returns the time of the last crash, or the beginning of time if there is none.
    pub(super) fn last_crash(&self) -> MilliTime {
        let times = self.crashes.iter().map(|crash| crash.at);
        times.max().unwrap_or_default()
    }

    /// Has the part sent to the other processes, at once and then again.
    pub(super) fn announce(&mut self, sends: u8) {
        self.sends_left = self.sends_left.max(sends);
        self.is_unsent = true;
    }

    /// Returns whether the part is to be sent to the other processes now; refused parts are at each repeat.
    pub(super) fn is_due(&self, is_repeat: bool) -> bool {
        self.sends_left > 0 || (is_repeat && self.is_refused)
    }

    /// Records that the part was sent to the other processes.
    pub(super) fn record_send(&mut self) {
        self.sends_left = self.sends_left.saturating_sub(1);
        self.is_unsent = false;
    }

    /// Drops crashes that are too old to count; returns whether anything is left to keep.
    pub(super) fn expire(&mut self, now: MilliTime) -> bool {
        if self.is_refused {
            return now.since(self.last_crash()) <= RETENTION_MS;
        }
        self.crashes
            .retain(|crash| now.since(crash.at) <= MEMORY_MS);
        !self.crashes.is_empty() || now.since(self.changed_at) <= MEMORY_MS
    }
}
