use crate::time::MilliTime;

use super::CrashSnapshot;
use super::EngineCrash;
use super::PartLedger;
use super::PromptPart;
use super::RunPhase;
use super::StoredCrash;
use super::cleared_requests::ClearedRequests;
use super::known_crash::KnownCrash;
use super::known_crashes::KnownCrashes;
use super::late_losses::LateLosses;
use super::part_report::age_ms;
use super::part_report::earlier;

/// The maximum time between a broken run and the loss of one of its engines for the two to count as
/// a crash, in milliseconds.
///
/// The entry of a silent engine expires after three heartbeats of somewhat over a second each, and
/// the list is read every second.
const CRASH_WINDOW_MS: u64 = 6_000;

/// The maximum number of engines that are kept as answering; the earliest is dropped first.
const MAX_ANSWERING: usize = 64;

/// The maximum number of broken runs and of lost engines that are kept; the oldest ones are dropped.
///
/// A crash of an engine breaks off about 200 runs at most.
const MAX_RECORDS: usize = 512;

/// The number of crashes after which a request is refused.
const CRASHES_UNTIL_REFUSAL: usize = 2;

/// The number of engines lost during established runs of a request that count as one crash.
const LATE_LOSSES_PER_CRASH: usize = 2;

/// The maximum number of crashes in a snapshot, which keeps it below 32 KB as JSON.
const MAX_STORED: usize = 128;

/// A run that broke off.
#[derive(Clone, Debug)]
struct BrokenRun {
    fingerprint: String,
    parts: Vec<PromptPart>,
    engines: Vec<String>,
    phase: RunPhase,
    ended_at: MilliTime,
}

/// Finds the requests that crash the engines that run them, so that they are refused.
///
/// A broken answer alone is weak evidence, as connections are reset and answers get lost. A crash
/// is counted only if an engine of the run is lost at about the same time and its answer had only just begun
/// ([`RunPhase::Starting`]), since a request crashes an engine when it begins to run. Two engines that are lost
/// during established runs of a request count as one crash, whichever processes noticed them: each engine counts
/// once. A process keeps the first such loss of a request to itself until it learns of another engine. A
/// request is refused after two crashes; an answer to an equal request clears it. Requests that share only a
/// part of their prompt are found by a [`PartLedger`], by their starting runs.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::CrashDetector;
/// use dandelionroad_core::relay::RunPhase;
/// use dandelionroad_core::time::MilliTime;
///
/// let now = MilliTime::from_millis(1_000);
/// let mut detector = CrashDetector::new();
/// for engine in ["e1", "e2"] {
///     assert!(!detector.should_refuse("aa", now));
///     let engines = [engine.to_owned()];
///     detector.record_broken_run("aa", &[], &engines, RunPhase::Starting, now);
///     assert_eq!(detector.record_engine_loss(engine, now).len(), 1);
/// }
/// assert!(detector.should_refuse("aa", now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    /// The runs that broke off within the crash window, sorted by time.
    broken: Vec<BrokenRun>,
    /// The engines that were lost within the crash window, sorted by time.
    lost: Vec<(String, MilliTime)>,
    known: KnownCrashes,
    late: LateLosses,
    cleared: ClearedRequests,
    parts: PartLedger,
    /// The engines that answered after they had counted as lost, in the order of their answers.
    ///
    /// Other processes may still report crashes of them.
    answering: Vec<String>,
}

impl CrashDetector {
    /// Creates a detector without known crashes.
    pub fn new() -> CrashDetector {
        CrashDetector::default()
    }

    /// Returns the number of known crashes.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no crash is known, so that requests need no look-up.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the prompt parts that may have crashed engines.
    pub fn parts(&self) -> &PartLedger {
        &self.parts
    }

    /// Returns the prompt parts that may have crashed engines, to be changed.
    pub fn parts_mut(&mut self) -> &mut PartLedger {
        &mut self.parts
    }

    /// Returns whether a request crashed two engines and must not run again.
    ///
    /// Engines that a refused prompt part crashed don't count: the request may have run beside it.
    pub fn should_refuse(&mut self, fingerprint: &str, now: MilliTime) -> bool {
        let mut starting = 0;
        let mut late = 0;
        let counted = self.known.iter().filter(|known| {
            known.crash.fingerprint == fingerprint && !self.parts.explains(&known.crash.engine)
        });
        for known in counted {
            match known.phase {
                RunPhase::Starting => starting += 1,
                RunPhase::Established => late += 1,
            }
        }
        let is_refused = starting + late / LATE_LOSSES_PER_CRASH >= CRASHES_UNTIL_REFUSAL;
        if is_refused {
            self.known.record_seen(fingerprint, now);
            self.known.announce(fingerprint, now);
        }
        is_refused
    }

    /// Records a run that broke off in a phase; returns the crashes that this proves.
    pub fn record_broken_run(
        &mut self,
        fingerprint: &str,
        parts: &[PromptPart],
        engines: &[String],
        phase: RunPhase,
        now: MilliTime,
    ) -> Vec<EngineCrash> {
        let run = BrokenRun {
            fingerprint: fingerprint.to_owned(),
            parts: parts.to_vec(),
            engines: engines.to_vec(),
            phase,
            ended_at: now,
        };
        let is_recent = |lost: &&(String, MilliTime)| now.since(lost.1) <= CRASH_WINDOW_MS;
        let mut lost = self.lost.iter().filter(is_recent);
        if let Some((engine, _)) = lost.find(|(lost, _)| engines.contains(lost)) {
            let engine = engine.clone();
            return self.record_crashes(&engine, vec![run], now);
        }
        if self.broken.len() >= MAX_RECORDS {
            self.broken.remove(0);
        }
        self.broken.push(run);
        Vec::new()
    }

    /// Records the loss of an engine, which refuses connections, was restarted or is no longer
    /// listed; returns the new crashes.
    pub fn record_engine_loss(&mut self, engine: &str, now: MilliTime) -> Vec<EngineCrash> {
        self.expire(now);
        self.answering.retain(|answering| answering != engine);
        self.lost.retain(|(lost, _)| lost != engine);
        if self.lost.len() >= MAX_RECORDS {
            self.lost.remove(0);
        }
        self.lost.push((engine.to_owned(), now));
        let ran_on_engine = |run: &mut BrokenRun| run.engines.iter().any(|known| known == engine);
        let crashed: Vec<BrokenRun> = self.broken.extract_if(.., ran_on_engine).collect();
        self.record_crashes(engine, crashed, now)
    }

    /// Withdraws the crashes of an engine that answers a request, if they were recorded before the request was sent
    /// to it at `sent_at`.
    ///
    /// Its registration had lapsed, or it could not be reached for a while, but it ran on.
    pub fn record_engine_answer(&mut self, engine: &str, sent_at: MilliTime, now: MilliTime) {
        let lost_before = self.lost.len();
        self.lost
            .retain(|(lost, at)| lost != engine || *at >= sent_at);
        let has_withdrawn = self.known.withdraw_engine(engine, sent_at);
        self.late.withdraw_engine(engine, sent_at);
        let has_parts = self.parts.withdraw_engine(engine, sent_at, now);
        if self.lost.len() == lost_before && !has_withdrawn && !has_parts {
            return;
        }
        if self.answering.len() >= MAX_ANSWERING {
            self.answering.remove(0);
        }
        self.answering.push(engine.to_owned());
    }

    /// Adds a crash that another process announced; returns whether it was new.
    pub fn merge(&mut self, crash: &EngineCrash, now: MilliTime) -> bool {
        self.merge_in_phase(crash, RunPhase::Starting, now)
    }

    /// Adds the loss of an engine during an established run that another process announced; returns whether it
    /// was new.
    pub fn merge_late(&mut self, crash: &EngineCrash, now: MilliTime) -> bool {
        self.merge_in_phase(crash, RunPhase::Established, now)
    }

    /// Returns whether an engine was lost while a run of the request was on it.
    pub fn has_loss(&self, fingerprint: &str) -> bool {
        self.known.has_request(fingerprint) || self.late.has_request(fingerprint)
    }

    /// Clears a request that was answered; returns whether a crash was known for it.
    pub fn clear_request(&mut self, fingerprint: &str, now: MilliTime) -> bool {
        let was_known = self.forget_request(fingerprint);
        if was_known {
            self.cleared.record(fingerprint, now);
        }
        was_known
    }

    /// Returns at most `limit` crashes to send to the other processes now: of those to announce, the ones that
    /// were sent least often.
    ///
    /// A lost engine breaks off many runs, and each of them may be the one at fault.
    pub fn take_reports(&mut self, limit: usize, now: MilliTime) -> Vec<EngineCrash> {
        self.known.take_reports(limit, RunPhase::Starting, now)
    }

    /// Returns at most `limit` losses during established runs to send to the other processes now, chosen as in
    /// [`take_reports`](CrashDetector::take_reports).
    pub fn take_late_reports(&mut self, limit: usize, now: MilliTime) -> Vec<EngineCrash> {
        self.known.take_reports(limit, RunPhase::Established, now)
    }

    /// Drops records that are too old to count.
    pub fn expire(&mut self, now: MilliTime) {
        self.parts.expire(now);
        self.late.expire(now);
        self.cleared.expire(now);
        self.broken
            .retain(|run| now.since(run.ended_at) <= CRASH_WINDOW_MS);
        self.lost
            .retain(|(_, lost)| now.since(*lost) <= CRASH_WINDOW_MS);
        self.known.expire(now);
    }

    /// Returns what a process that starts later must know; see [`restore`](CrashDetector::restore).
    ///
    /// Requests that are refused come first, then those that were seen last.
    pub fn snapshot(&self, now: MilliTime) -> CrashSnapshot {
        let count_of = |fingerprint: &str| {
            let known = self.known.iter();
            known
                .filter(|known| known.crash.fingerprint == fingerprint)
                .count()
        };
        let mut known: Vec<&KnownCrash> = self.known.iter().collect();
        known.sort_by_cached_key(|known| {
            let is_lone = count_of(&known.crash.fingerprint) < CRASHES_UNTIL_REFUSAL;
            (is_lone, now.since(known.seen_at))
        });
        known.truncate(MAX_STORED);
        let stored = |known: &KnownCrash| StoredCrash {
            crash: known.crash.clone(),
            phase: known.phase,
            seen_age_ms: age_ms(now, known.seen_at),
        };
        CrashSnapshot {
            crashes: known.into_iter().map(stored).collect(),
            parts: self.parts.stored_reports(now),
        }
    }

    /// Adds a snapshot of another process or of an earlier one that was taken at `taken_at` and has been
    /// [`aged`](CrashSnapshot::aged) to `now`.
    ///
    /// Requests that were served since it was taken stay cleared.
    pub fn restore(&mut self, snapshot: &CrashSnapshot, taken_at: MilliTime, now: MilliTime) {
        for stored in &snapshot.crashes {
            let seen_at = earlier(now, stored.seen_age_ms);
            let is_answering = self.answering.contains(&stored.crash.engine);
            let fingerprint = &stored.crash.fingerprint;
            if !is_answering && !self.cleared.was_served_since(fingerprint, taken_at) {
                self.insert(&stored.crash, stored.phase, seen_at);
            }
        }
        for report in &snapshot.parts {
            self.parts.merge(report, now);
        }
        self.expire(now);
    }

    /// Counts a crash for the requests whose runs an engine broke off; returns the new crashes.
    ///
    /// If some of the requests crashed an engine before, only those count, as one of them is the
    /// likely cause.
    fn record_crashes(
        &mut self,
        engine: &str,
        runs: Vec<BrokenRun>,
        now: MilliTime,
    ) -> Vec<EngineCrash> {
        for run in runs.iter().filter(|run| run.phase == RunPhase::Starting) {
            self.parts.record_crash(&run.parts, engine, run.ended_at);
        }
        let has_suspect = runs
            .iter()
            .any(|run| self.known.has_request(&run.fingerprint));
        let mut new_crashes = Vec::new();
        for run in runs {
            let fingerprint = run.fingerprint;
            if has_suspect && !self.known.has_request(&fingerprint) {
                continue;
            }
            match run.phase {
                RunPhase::Starting => {
                    let crash = EngineCrash {
                        fingerprint: fingerprint.clone(),
                        engine: engine.to_owned(),
                    };
                    if self.insert(&crash, run.phase, now) {
                        new_crashes.push(crash);
                    }
                }
                RunPhase::Established => {
                    if !self.late.record(&fingerprint, engine, now)
                        && !self.known.has_request(&fingerprint)
                    {
                        continue;
                    }
                }
            }
            new_crashes.extend(self.count_late_losses(&fingerprint, now));
        }
        new_crashes
    }

    fn merge_in_phase(&mut self, crash: &EngineCrash, phase: RunPhase, now: MilliTime) -> bool {
        let is_new = !self.answering.contains(&crash.engine) && self.insert(crash, phase, now);
        if is_new {
            self.count_late_losses(&crash.fingerprint, now);
        }
        is_new
    }

    /// Counts the losses during established runs of a request that more than one engine was lost with; returns
    /// the new ones.
    fn count_late_losses(&mut self, fingerprint: &str, now: MilliTime) -> Vec<EngineCrash> {
        let engines = self.late.take_request(fingerprint).into_iter();
        let crashes = engines.map(|engine| EngineCrash {
            fingerprint: fingerprint.to_owned(),
            engine,
        });
        crashes
            .filter(|crash| self.insert(crash, RunPhase::Established, now))
            .collect()
    }

    /// Drops what is known of a request; returns whether a crash was.
    fn forget_request(&mut self, fingerprint: &str) -> bool {
        self.broken.retain(|run| run.fingerprint != fingerprint);
        self.late.clear_request(fingerprint);
        self.known.clear_request(fingerprint)
    }

    /// Adds the loss of an engine to a request; returns whether it is new or in an earlier phase than known.
    fn insert(&mut self, crash: &EngineCrash, phase: RunPhase, now: MilliTime) -> bool {
        if let Some(oldest) = self.known.oldest_if_full() {
            self.forget_request(&oldest);
        }
        self.known.insert(crash, phase, now)
    }
}
