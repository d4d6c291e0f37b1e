//! What a ledger tells others.

use crate::relay::PartCrash;
use crate::relay::PartLedger;
use crate::relay::PartReport;
use crate::relay::PromptPart;
use crate::relay::part_report::age_ms;
use crate::relay::suspect_crash::SuspectCrash;
use crate::relay::suspect_part::SuspectPart;
use crate::time::MilliTime;

/// The maximum number of reports that are sent or stored at once.
const MAX_REPORTS: usize = 32;

impl PartLedger {
    /// Returns the reports to send to the other processes: the losses that this process has noticed and the parts
    /// that it has cleared or refused, a few times.
    ///
    /// With `is_repeat`, the refused parts are included, so that a process that has started meanwhile gets
    /// them.
    pub fn take_reports(&mut self, is_repeat: bool, now: MilliTime) -> Vec<PartReport> {
        let due = self.suspects.iter_mut();
        let mut due: Vec<&mut SuspectPart> =
            due.filter(|suspect| suspect.is_due(is_repeat)).collect();
        // What does not fit stays due.
        due.sort_by_key(|suspect| (!suspect.is_unsent, !suspect.is_refused));
        due.truncate(MAX_REPORTS);
        let mut parts = Vec::new();
        for suspect in due {
            suspect.record_send();
            parts.push(suspect.part);
        }
        parts.iter().map(|part| self.report(part, now)).collect()
    }

    /// Returns the reports of the parts that are refused, or suspected without a known request that was served with them,
    /// at most as many as are sent at once.
    ///
    /// Of a part that was served before, only a refusal tells: the one who reads the report may not know of the serving.
    pub fn stored_reports(&self, now: MilliTime) -> Vec<PartReport> {
        let is_stored = |suspect: &&SuspectPart| {
            let is_suspected = self.support(suspect) > 0 && !self.is_proven(&suspect.part);
            suspect.is_refused || is_suspected
        };
        let mut stored: Vec<&SuspectPart> = self.suspects.iter().filter(is_stored).collect();
        stored.sort_by_key(|suspect| !suspect.is_refused);
        stored.truncate(MAX_REPORTS);
        let reports = stored.iter().map(|suspect| self.report(&suspect.part, now));
        reports.collect()
    }

    /// Returns what this ledger knows about a part.
    pub(super) fn report(&self, part: &PromptPart, now: MilliTime) -> PartReport {
        let suspect = self.suspect(part);
        let crashes = suspect.map_or(&[][..], |suspect| &suspect.crashes);
        let crash = |crash: &SuspectCrash| PartCrash {
            engine: crash.engine,
            age_ms: age_ms(now, crash.at),
        };
        PartReport {
            part: *part,
            position: suspect.map_or(0, |suspect| suspect.position),
            crashes: crashes.iter().map(crash).collect(),
            cleared: suspect.map_or_else(Vec::new, |suspect| suspect.cleared.clone()),
            is_served: self.is_proven(part),
            served_age_ms: self.served.own_serving(part).map(|at| age_ms(now, at)),
        }
    }
}
