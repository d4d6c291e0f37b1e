use crate::admit::CrashLedger;
use crate::admit::CrashVerdict;
use crate::time::MilliTime;

use super::EngineCrash;

/// How long after a run broke off the loss of one of its engines counts as a crash, in milliseconds.
///
/// The entry of a silent engine lapses after three heartbeats of somewhat over a second, and the list is
/// read each second.
const CRASH_SPAN_MS: u64 = 6_000;

/// How long a crash is remembered after the request was last seen, in milliseconds.
///
/// A request that crashes engines comes again within seconds; one that was next to it by chance is not
/// refused for longer.
const MEMORY_MS: u64 = 60_000;

/// How long a crash is told to the other processes, in milliseconds.
///
/// Datagrams may be lost, and a process that starts meanwhile hears of it as well.
const TELL_MS: u64 = 10_000;

/// The most broken runs, lost engines and crashes that are kept; the oldest ones are dropped.
///
/// An engine breaks off at most some 200 runs when it crashes.
const MOST_RECORDS: usize = 512;

/// A run that broke off before its first event.
#[derive(Clone, Debug)]
struct BrokenRun {
    fingerprint: String,
    engines: Vec<String>,
    ended: MilliTime,
}

/// A crash that is known, with when its request was last seen.
#[derive(Clone, Debug)]
struct KnownCrash {
    crash: EngineCrash,
    seen: MilliTime,
}

/// The requests that may have crashed the engines that ran them.
///
/// An answer that breaks off says little by itself: connections are reset and answers get lost. A crash
/// is counted if an engine of the run is lost at the same time, and if the run had no event yet, as a
/// request crashes an engine when it begins to run. Two lost engines refuse the request ([`CrashLedger`]);
/// an answer to an equal request clears it.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::CrashDetector;
/// use dandelionroad_core::time::MilliTime;
///
/// let now = MilliTime::from_millis(1_000);
/// let mut detector = CrashDetector::new();
/// for engine in ["e1", "e2"] {
///     assert!(!detector.should_refuse("aa", now));
///     detector.record_broken_run("aa", &[engine.to_owned()], now);
///     assert_eq!(detector.record_engine_loss(engine, now).len(), 1);
/// }
/// assert!(detector.should_refuse("aa", now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    ledger: CrashLedger,
    /// In order of time.
    broken: Vec<BrokenRun>,
    /// The engines that were lost lately, in order of time.
    lost: Vec<(String, MilliTime)>,
    known: Vec<KnownCrash>,
}

impl CrashDetector {
    /// Creates a detector that knows of no crash.
    pub fn new() -> CrashDetector {
        CrashDetector::default()
    }

    /// Returns the number of crashes that are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no crash is known, so that no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns whether a request crashed two engines and must not run again.
    pub fn should_refuse(&mut self, fingerprint: &str, now: MilliTime) -> bool {
        let is_refused = self.ledger.verdict(fingerprint) == CrashVerdict::Refused;
        if is_refused {
            // As long as it comes, it is remembered.
            self.see(fingerprint, now);
        }
        is_refused
    }

    /// Takes a run that broke off before its first event; returns the crash if it is a new one.
    pub fn record_broken_run(
        &mut self,
        fingerprint: &str,
        engines: &[String],
        now: MilliTime,
    ) -> Option<EngineCrash> {
        let is_recent = |lost: &&(String, MilliTime)| now.since(lost.1) <= CRASH_SPAN_MS;
        let mut lost = self.lost.iter().filter(is_recent);
        if let Some((engine, _)) = lost.find(|(lost, _)| engines.contains(lost)) {
            let engine = engine.clone();
            return self.count(&engine, vec![fingerprint.to_owned()], now).pop();
        }
        if self.broken.len() >= MOST_RECORDS {
            self.broken.remove(0);
        }
        self.broken.push(BrokenRun {
            fingerprint: fingerprint.to_owned(),
            engines: engines.to_vec(),
            ended: now,
        });
        None
    }

    /// Takes the loss of an engine: it refuses connections, was started again, or is listed no more;
    /// returns the crashes that are new.
    pub fn record_engine_loss(&mut self, engine: &str, now: MilliTime) -> Vec<EngineCrash> {
        self.expire(now);
        self.lost.retain(|(lost, _)| lost != engine);
        if self.lost.len() >= MOST_RECORDS {
            self.lost.remove(0);
        }
        self.lost.push((engine.to_owned(), now));
        let ran_there = |run: &mut BrokenRun| run.engines.iter().any(|known| known == engine);
        let crashed = self.broken.extract_if(.., ran_there);
        let fingerprints = crashed.map(|run| run.fingerprint).collect();
        self.count(engine, fingerprints, now)
    }

    /// Takes a crash that another process tells of; returns whether it was not known.
    pub fn merge(&mut self, crash: &EngineCrash, now: MilliTime) -> bool {
        if self.known.iter().any(|known| known.crash == *crash) {
            return false;
        }
        self.remember(crash.clone(), now);
        true
    }

    /// Takes an answer to a request, which clears it; returns whether it was suspected.
    pub fn clear_request(&mut self, fingerprint: &str) -> bool {
        self.broken.retain(|run| run.fingerprint != fingerprint);
        let count = self.known.len();
        self.known
            .retain(|known| known.crash.fingerprint != fingerprint);
        self.ledger.complete(fingerprint);
        self.known.len() < count
    }

    /// Returns the crashes that the other processes are to be told, the latest ones first.
    pub fn recent_crashes(&self, now: MilliTime) -> Vec<&EngineCrash> {
        let known = self.known.iter().rev();
        let told = known.filter(|known| now.since(known.seen) <= TELL_MS);
        told.map(|known| &known.crash).collect()
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: MilliTime) {
        self.broken
            .retain(|run| now.since(run.ended) <= CRASH_SPAN_MS);
        self.lost
            .retain(|(_, lost)| now.since(*lost) <= CRASH_SPAN_MS);
        let is_old = |known: &mut KnownCrash| now.since(known.seen) > MEMORY_MS;
        for old in self.known.extract_if(.., is_old) {
            self.ledger.complete(&old.crash.fingerprint);
        }
    }

    /// Counts a crash for requests that ran at an engine; if a suspect was among them, only suspects
    /// count.
    fn count(
        &mut self,
        engine: &str,
        fingerprints: Vec<String>,
        now: MilliTime,
    ) -> Vec<EngineCrash> {
        let mut suspects = fingerprints.iter();
        let has_suspect = suspects.any(|request| !self.ledger.runs(request).is_empty());
        let mut counted = Vec::new();
        for fingerprint in fingerprints {
            if has_suspect && self.ledger.runs(&fingerprint).is_empty() {
                continue;
            }
            let engine = engine.to_owned();
            let crash = EngineCrash {
                fingerprint,
                engine,
            };
            if self.merge(&crash, now) {
                counted.push(crash);
            }
        }
        counted
    }

    fn remember(&mut self, crash: EngineCrash, now: MilliTime) {
        if self.known.len() >= MOST_RECORDS {
            let old = self.known[0].crash.fingerprint.clone();
            self.clear_request(&old);
        }
        self.ledger
            .merge(&crash.fingerprint, &[&crash.engine], true);
        // All crashes of a request are forgotten together.
        self.see(&crash.fingerprint, now);
        self.known.push(KnownCrash { crash, seen: now });
    }

    fn see(&mut self, fingerprint: &str, now: MilliTime) {
        let known = self.known.iter_mut();
        known
            .filter(|known| known.crash.fingerprint == fingerprint)
            .for_each(|known| known.seen = now);
    }
}
