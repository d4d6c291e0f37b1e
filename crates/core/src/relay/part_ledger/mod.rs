mod ledger_reports;

use crate::route::hash_text;
use crate::time::MilliTime;

use super::PartChange;
use super::PartReport;
use super::PartVerdict;
use super::PromptPart;
use super::part_report::earlier;
use super::served_part::ServedPart;
use super::served_parts::ServedParts;
use super::suspect_part::CHANGE_SENDS;
use super::suspect_part::SuspectPart;

/// The seed of the hash of engines.
const ENGINE_SEED: u64 = 0x656e_6769_6e65;

/// The number of losses after which a part is refused that no known request was served with.
///
/// One engine may be lost for another reason while it begins to answer.
const UNPROVEN_LIMIT: usize = 2;

/// The number of losses, since it was last served, after which a part is refused that was served before.
///
/// A sound request beside a fatal one can be on four lost engines: the caller and the process both retry
/// it once.
const PROVEN_LIMIT: usize = 5;

/// The number of losses that a part served before must have in excess of another one to be refused in its place.
const PROVEN_EXCESS: usize = 2;

/// The time within which the losses of several engines are one loss, in milliseconds.
///
/// A zone or a rack that fails takes sound runs of one part off several engines at once, and processes notice it
/// within milliseconds. Two requests with a fatal part seldom crash their engines so close to each other; if they
/// do, a third engine is lost until the part is refused.
const SIMULTANEOUS_MS: u64 = 20;

/// The maximum number of suspected parts; the one with the oldest crash is dropped first.
const MAX_SUSPECTS: usize = 256;

/// Finds the shared prompt parts that crash each engine that begins to answer a request with them.
///
/// Requests with such a part have nothing else in common, so that counting crashes by request finds none of
/// them. A run that broke off before its answer had begun, on an engine that was lost, counts against each
/// shared part of its prompt. The part at fault stands in one such run on each lost engine, and no request
/// with it is ever served; parts of other requests on the same engines are served sooner or later, which clears
/// them. If a refused part explains the loss of an engine, the loss counts against no other part.
///
/// # Example
///
/// ```
/// use dandelionroad_core::relay::PartLedger;
/// use dandelionroad_core::relay::PartVerdict;
/// use dandelionroad_core::relay::PromptPart;
/// use dandelionroad_core::time::MilliTime;
///
/// let now = MilliTime::from_millis(1_000);
/// let [sound, fatal] = ["a", "b"].map(|id| PromptPart::new("knots", id));
/// let mut ledger = PartLedger::new();
/// ledger.record_served(&[sound], now);
/// ledger.record_crash(&[sound, fatal], "e1", now);
/// ledger.record_crash(&[sound, fatal], "e2", now.plus(100));
/// assert_eq!(ledger.verdict(&[sound, fatal]), PartVerdict::Refused);
/// assert_eq!(ledger.verdict(&[sound]), PartVerdict::Clear);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PartLedger {
    /// The parts that requests were served with.
    served: ServedParts,
    /// Sorted by part.
    suspects: Vec<SuspectPart>,
    /// The engines whose loss a refused part explains, sorted.
    explained: Vec<u64>,
    changes: Vec<PartChange>,
}

impl PartLedger {
    /// Creates a ledger without suspected parts.
    pub fn new() -> PartLedger {
        PartLedger::default()
    }

    /// Returns the number of refused parts.
    pub fn refused_count(&self) -> usize {
        let refused = self.suspects.iter().filter(|suspect| suspect.is_refused);
        refused.count()
    }

    /// Returns how a request with these parts may be handled if it does not serve as a probe.
    pub fn verdict(&self, parts: &[PromptPart]) -> PartVerdict {
        let mut verdict = PartVerdict::Clear;
        for suspect in parts.iter().filter_map(|part| self.suspect(part)) {
            if suspect.is_refused {
                return PartVerdict::Refused;
            }
            if self.support(suspect) > 0 && !self.is_proven(&suspect.part) {
                verdict = PartVerdict::Suspected;
            }
        }
        verdict
    }

    /// Returns how a new request with these parts may be handled.
    ///
    /// After a time that grows with the crashes, a request with a refused part is admitted as a probe, at the
    /// process of the lowest `rank` first.
    pub fn admit(&mut self, parts: &[PromptPart], rank: u32, now: MilliTime) -> PartVerdict {
        let verdict = self.verdict(parts);
        if verdict != PartVerdict::Refused {
            return verdict;
        }
        let refused =
            |suspect: &&mut SuspectPart| suspect.is_refused && parts.contains(&suspect.part);
        let mut refused: Vec<&mut SuspectPart> = self.suspects.iter_mut().filter(refused).collect();
        if !refused.iter().all(|suspect| suspect.may_probe(rank, now)) {
            return PartVerdict::Refused;
        }
        for suspect in &mut refused {
            suspect.probed_at = Some(now);
        }
        PartVerdict::Probe
    }

    /// Returns whether no request is known to have been served with one of the parts.
    pub fn has_unproven(&self, parts: &[PromptPart]) -> bool {
        parts.iter().any(|part| !self.is_proven(part))
    }

    /// Returns whether the loss of an incarnation of an engine is explained by a refused part.
    pub fn explains(&self, engine: &str) -> bool {
        let engine = hash_text(ENGINE_SEED, engine);
        self.explained.binary_search(&engine).is_ok()
    }

    /// Records the loss of an engine, at the time at which a run of a request with these parts broke off on
    /// it.
    pub fn record_crash(&mut self, parts: &[PromptPart], engine: &str, at: MilliTime) {
        let engine = hash_text(ENGINE_SEED, engine);
        let mut is_new = false;
        for (position, part) in parts.iter().enumerate() {
            let position = u8::try_from(position).unwrap_or(u8::MAX);
            if self.insert_crash(*part, position, engine, at) {
                is_new = true;
                self.announce(part);
            }
        }
        if is_new {
            self.decide_refusals();
        }
    }

    /// Withdraws the loss of an engine that ran on, if it was before `answered_from`; returns whether it counted
    /// against a part.
    pub fn withdraw_engine(
        &mut self,
        engine: &str,
        answered_from: MilliTime,
        now: MilliTime,
    ) -> bool {
        let engine = hash_text(ENGINE_SEED, engine);
        let mut is_changed = false;
        for suspect in &mut self.suspects {
            if suspect.has_crash_before(engine, answered_from) {
                suspect.clear(engine, now);
                suspect.announce(1);
                is_changed = true;
            }
        }
        if is_changed {
            self.decide_refusals();
        }
        is_changed
    }

    /// Records that an engine answers a request with these parts, which clears them.
    pub fn record_served(&mut self, parts: &[PromptPart], now: MilliTime) {
        let mut is_cleared = false;
        for part in parts {
            self.served.insert(ServedPart::observed(*part, now));
            if let Ok(index) = self.find_suspect(part)
                && self.suspects[index].clear_all(now)
            {
                is_cleared = true;
                self.suspects[index].announce(1);
            }
        }
        if is_cleared {
            self.decide_refusals();
        }
    }

    /// Adds what another process reports; returns the report that the process lacks, if any.
    pub fn merge(&mut self, report: &PartReport, now: MilliTime) -> Option<PartReport> {
        let part = report.part;
        let own_serving = self.served.own_serving(&part);
        let reported_serving = report.served_age_ms.map(|age_ms| earlier(now, age_ms));
        // A suspected part that turns out to have been served changes which part is at fault.
        let mut is_new = reported_serving.is_some() && !self.is_proven(&part);
        if let Some(at) = reported_serving {
            self.served.insert(ServedPart::reported(part, at));
        }
        let mut is_behind = own_serving.is_some() && !report.is_served;
        for engine in &report.cleared {
            let index = self.find_or_insert(part);
            is_new |= self.suspects[index].clear(*engine, now);
        }
        for crash in &report.crashes {
            let at = earlier(now, crash.age_ms);
            let index = self.find_or_insert(part);
            let suspect = &mut self.suspects[index];
            // The engine was lost at this time or before.
            if own_serving.is_some_and(|own| own >= at) {
                is_new |= suspect.clear(crash.engine, now);
            }
            is_behind |= suspect.cleared.contains(&crash.engine);
            is_new |= suspect.insert(crash.engine, report.position, at);
        }
        if is_new {
            self.decide_refusals();
        }
        is_behind.then(|| self.report(&part, now))
    }

    /// Returns whether there are changes that have not been sent to the other processes.
    pub fn has_unsent(&self) -> bool {
        self.suspects.iter().any(|suspect| suspect.is_unsent)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: MilliTime) {
        let count_before = self.suspects.len();
        self.suspects.retain_mut(|suspect| suspect.expire(now));
        if self.suspects.len() < count_before {
            self.decide_refusals();
        }
    }

    fn find_suspect(&self, part: &PromptPart) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(part, |suspect| suspect.part)
    }

    fn suspect(&self, part: &PromptPart) -> Option<&SuspectPart> {
        let index = self.find_suspect(part).ok()?;
        Some(&self.suspects[index])
    }

    fn is_proven(&self, part: &PromptPart) -> bool {
        self.served.contains(part)
    }

    /// Returns the number of losses that count against a part: those of engines that no refused part
    /// explains, engines that were lost at the same time counting once.
    fn support(&self, suspect: &SuspectPart) -> usize {
        let crashes = suspect.crashes.iter();
        let unexplained =
            crashes.filter(|crash| self.explained.binary_search(&crash.engine).is_err());
        let mut times: Vec<MilliTime> = unexplained.map(|crash| crash.at).collect();
        times.sort_unstable();
        let mut count = 0;
        let mut counted_at = None;
        for at in times {
            if counted_at.is_none_or(|counted| at.since(counted) > SIMULTANEOUS_MS) {
                counted_at = Some(at);
                count += 1;
            }
        }
        count
    }

    /// Adds a lost engine to a part, unless the part was served since; returns whether it is new.
    fn insert_crash(&mut self, part: PromptPart, position: u8, engine: u64, at: MilliTime) -> bool {
        if self.served.own_serving(&part).is_some_and(|own| own >= at) {
            return false;
        }
        let index = self.find_or_insert(part);
        self.suspects[index].insert(engine, position, at)
    }

    /// Has a loss that this process has noticed sent to the others, which do not send it on.
    ///
    /// A lost engine has runs of many parts, and most of them were served before.
    fn announce(&mut self, part: &PromptPart) {
        let sends = match self.is_proven(part) {
            true => 1,
            false => CHANGE_SENDS,
        };
        if let Ok(index) = self.find_suspect(part) {
            self.suspects[index].announce(sends);
        }
    }

    /// Returns the index of a suspected part, which is added unless it is there.
    fn find_or_insert(&mut self, part: PromptPart) -> usize {
        if self.find_suspect(&part).is_err() && self.suspects.len() >= MAX_SUSPECTS {
            self.drop_oldest();
        }
        self.find_suspect(&part).unwrap_or_else(|index| {
            self.suspects.insert(index, SuspectPart::new(part));
            index
        })
    }

    fn drop_oldest(&mut self) {
        let ages = self.suspects.iter().enumerate();
        let oldest = ages.min_by_key(|(_, suspect)| suspect.last_crash());
        if let Some((index, _)) = oldest {
            self.suspects.remove(index);
        }
    }

    /// Decides anew which parts are refused: the one with the most lost engines first, then those that
    /// have enough lost engines which the former do not explain.
    fn decide_refusals(&mut self) {
        self.explained.clear();
        let mut refused: Vec<PromptPart> = Vec::new();
        while let Some(index) = self.most_suspected(&refused) {
            let suspect = &self.suspects[index];
            refused.push(suspect.part);
            let engines = suspect.crashes.iter().map(|crash| crash.engine);
            self.explained.extend(engines);
            self.explained.sort_unstable();
            self.explained.dedup();
        }
        for suspect in &mut self.suspects {
            let change = suspect.set_refused(refused.contains(&suspect.part));
            self.changes.extend(change);
        }
    }

    /// Returns the index of the part that is refused next, besides those in `refused`.
    fn most_suspected(&self, refused: &[PromptPart]) -> Option<usize> {
        let candidates = self.suspects.iter().enumerate();
        let candidates = candidates.filter(|(_, suspect)| !refused.contains(&suspect.part));
        let ranked = candidates.filter_map(|(index, suspect)| {
            let is_proven = self.is_proven(&suspect.part);
            let support = self.support(suspect);
            let (limit, excess) = match is_proven {
                true => (PROVEN_LIMIT, PROVEN_EXCESS),
                false => (UNPROVEN_LIMIT, 0),
            };
            // Of parts that always stand together, the later one is in fewer other prompts.
            let key = (support - excess.min(support), !is_proven, suspect.position);
            (support >= limit).then_some((key, index))
        });
        ranked.max().map(|(_, index)| index)
    }
}
