use crate::admit::CrashLedger;
use crate::admit::CrashVerdict;
use crate::time::MilliTime;

use super::CrashedRun;

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

/// The most broken runs and the most crashes that are kept; the oldest ones are dropped.
///
/// An engine breaks off at most some 200 runs when it crashes.
const MOST_RECORDS: usize = 512;

/// A run that broke off before its first event.
#[derive(Clone, Debug)]
struct BrokenRun {
    crashed: CrashedRun,
    engines: Vec<String>,
    ended: MilliTime,
}

/// A crash that is known, with when its request was last seen.
#[derive(Clone, Debug)]
struct KnownCrash {
    crashed: CrashedRun,
    seen: MilliTime,
}

/// The requests that may have crashed the engines that ran them.
///
/// An answer that breaks off says little by itself: connections are reset and answers get lost. A crash
/// is counted if an engine of the run is lost at the same time, and if the run had no event yet, as a
/// request crashes an engine when it begins to run. Two crashes refuse the request
/// ([`CrashLedger`]).
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::CrashWatch;
/// use dandelionroad_core::relay::CrashedRun;
/// use dandelionroad_core::time::MilliTime;
///
/// let now = MilliTime::from_millis(1_000);
/// let mut watch = CrashWatch::new();
/// for (run, engine) in [("r1/0", "e1"), ("r1/1", "e2")] {
///     assert!(!watch.refuses("aa", now));
///     let crashed = CrashedRun { fingerprint: "aa".to_owned(), run: run.to_owned() };
///     watch.break_off(crashed, vec![engine.to_owned()], now);
///     assert_eq!(watch.lose_engine(engine, now).len(), 1);
/// }
/// assert!(watch.refuses("aa", now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashWatch {
    ledger: CrashLedger,
    /// In order of time.
    broken: Vec<BrokenRun>,
    /// The engines that were lost lately, in order of time.
    lost: Vec<(String, MilliTime)>,
    known: Vec<KnownCrash>,
}

impl CrashWatch {
    /// Creates a watch that knows of no crash.
    pub fn new() -> CrashWatch {
        CrashWatch::default()
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
    pub fn refuses(&mut self, fingerprint: &str, now: MilliTime) -> bool {
        let is_refused = self.ledger.verdict(fingerprint) == CrashVerdict::Refused;
        if is_refused {
            // As long as it comes, it is remembered.
            self.see(fingerprint, now);
        }
        is_refused
    }

    /// Takes a run that broke off before its first event; returns the crashes that are new.
    pub fn break_off(
        &mut self,
        crashed: CrashedRun,
        engines: Vec<String>,
        now: MilliTime,
    ) -> Vec<CrashedRun> {
        let is_lost = self.lost.iter().any(|(id, lost)| {
            now.since(*lost) <= CRASH_SPAN_MS && engines.iter().any(|engine| engine == id)
        });
        if is_lost {
            return self.count(vec![crashed], now);
        }
        if self.broken.len() >= MOST_RECORDS {
            self.broken.remove(0);
        }
        self.broken.push(BrokenRun {
            crashed,
            engines,
            ended: now,
        });
        Vec::new()
    }

    /// Takes the loss of an engine: it refuses connections, was started again, or is listed no more;
    /// returns the crashes that are new.
    pub fn lose_engine(&mut self, id: &str, now: MilliTime) -> Vec<CrashedRun> {
        self.expire(now);
        self.lost.retain(|(lost, _)| lost != id);
        if self.lost.len() >= MOST_RECORDS {
            self.lost.remove(0);
        }
        self.lost.push((id.to_owned(), now));
        let runs_there = |run: &mut BrokenRun| run.engines.iter().any(|engine| engine == id);
        let crashed = self.broken.extract_if(.., runs_there);
        let crashed = crashed.map(|run| run.crashed).collect();
        self.count(crashed, now)
    }

    /// Takes a crash that another process tells of; returns whether it was not known.
    pub fn merge(&mut self, crashed: &CrashedRun, now: MilliTime) -> bool {
        if self.known.iter().any(|known| known.crashed == *crashed) {
            return false;
        }
        self.remember(crashed.clone(), now);
        true
    }

    /// Takes a request that was served, which clears it.
    pub fn complete(&mut self, fingerprint: &str) {
        self.ledger.complete(fingerprint);
        self.known
            .retain(|known| known.crashed.fingerprint != fingerprint);
        self.broken
            .retain(|run| run.crashed.fingerprint != fingerprint);
    }

    /// Returns the crashes that the other processes are to be told, the latest ones first.
    pub fn told(&self, now: MilliTime) -> Vec<&CrashedRun> {
        let known = self.known.iter().rev();
        let told = known.filter(|known| now.since(known.seen) <= TELL_MS);
        told.map(|known| &known.crashed).collect()
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: MilliTime) {
        self.broken
            .retain(|run| now.since(run.ended) <= CRASH_SPAN_MS);
        self.lost
            .retain(|(_, lost)| now.since(*lost) <= CRASH_SPAN_MS);
        let is_old = |known: &mut KnownCrash| now.since(known.seen) > MEMORY_MS;
        for old in self.known.extract_if(.., is_old) {
            self.ledger.complete(&old.crashed.fingerprint);
        }
    }

    /// Counts crashes at one engine; if a suspect was among them, only suspects count.
    fn count(&mut self, crashed: Vec<CrashedRun>, now: MilliTime) -> Vec<CrashedRun> {
        let is_suspect = |run: &CrashedRun| !self.ledger.runs(&run.fingerprint).is_empty();
        let has_suspect = crashed.iter().any(is_suspect);
        let counts = |run: &CrashedRun| !has_suspect || is_suspect(run);
        let counted: Vec<CrashedRun> = crashed.into_iter().filter(counts).collect();
        for run in &counted {
            self.remember(run.clone(), now);
        }
        counted
    }

    fn remember(&mut self, crashed: CrashedRun, now: MilliTime) {
        if self.known.len() >= MOST_RECORDS {
            let old = self.known[0].crashed.fingerprint.clone();
            self.complete(&old);
        }
        self.ledger
            .merge(&crashed.fingerprint, &[&crashed.run], true);
        // All crashes of a request are forgotten together.
        self.see(&crashed.fingerprint, now);
        self.known.push(KnownCrash { crashed, seen: now });
    }

    fn see(&mut self, fingerprint: &str, now: MilliTime) {
        let known = self.known.iter_mut();
        known
            .filter(|known| known.crashed.fingerprint == fingerprint)
            .for_each(|known| known.seen = now);
    }
}
