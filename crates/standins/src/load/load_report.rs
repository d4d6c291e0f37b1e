use std::fmt;

use super::CallOutcome;
use super::CallResult;
use super::LoadKind;
use super::TimeSample;

/// The results of a load test.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// The results of all requests that ended, in order of their ends.
    pub results: Vec<CallResult>,
}

impl LoadReport {
    /// Creates a report of `results`, which are in the order in which the requests ended.
    pub fn new(results: Vec<CallResult>) -> LoadReport {
        LoadReport { results }
    }

    /// Returns the results of requests that were not answered.
    pub fn failures(&self) -> Vec<&CallResult> {
        let results = self.results.iter();
        results
            .filter(|result| result.outcome != CallOutcome::Answered)
            .collect()
    }

    /// Returns the times to the first token, or to the answer of a plain service, of the answered
    /// requests of a kind.
    pub fn first_times(&self, kind: LoadKind) -> TimeSample {
        TimeSample::new(
            self.answered(kind)
                .filter_map(|result| result.first_ms)
                .collect(),
        )
    }

    /// Returns the times between consecutive tokens of the answered requests of a kind.
    pub fn token_intervals(&self, kind: LoadKind) -> TimeSample {
        let intervals = self
            .answered(kind)
            .flat_map(|result| &result.token_intervals_ms);
        TimeSample::new(intervals.copied().collect())
    }

    /// Returns the outcomes of a kind in sorted order, each with its number of requests.
    fn outcomes(&self, kind: LoadKind) -> Vec<(&CallOutcome, usize)> {
        let mut counts: Vec<(&CallOutcome, usize)> = Vec::new();
        for result in self.results.iter().filter(|result| result.kind == kind) {
            match counts.binary_search_by_key(&&result.outcome, |(outcome, _)| outcome) {
                Ok(index) => counts[index].1 += 1,
                Err(index) => counts.insert(index, (&result.outcome, 1)),
            }
        }
        counts
    }

    fn answered(&self, kind: LoadKind) -> impl Iterator<Item = &CallResult> {
        self.results
            .iter()
            .filter(move |result| result.kind == kind && result.outcome == CallOutcome::Answered)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut kinds: Vec<LoadKind> = self.results.iter().map(|result| result.kind).collect();
        kinds.sort_unstable();
        kinds.dedup();
        for kind in kinds {
            writeln!(formatter, "{}", kind.as_str())?;
            for (outcome, count) in self.outcomes(kind) {
                writeln!(formatter, "  {count} {outcome}")?;
            }
            let totals = self.answered(kind).map(|result| result.total_ms).collect();
            writeln!(formatter, "  whole answer: {}", TimeSample::new(totals))?;
            if matches!(kind, LoadKind::Chat | LoadKind::Completion) {
                writeln!(formatter, "  first token: {}", self.first_times(kind))?;
                writeln!(
                    formatter,
                    "  between tokens: {}",
                    self.token_intervals(kind)
                )?;
            }
        }
        Ok(())
    }
}
