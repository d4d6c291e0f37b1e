use crate::time::MilliTime;

use super::PromptPart;
use super::served_part::ServedPart;

/// The maximum number of parts whose last serving is kept; the older half is dropped beyond it.
const MAX_SERVED: usize = 8_192;

/// The prompt parts that requests were served with.
#[derive(Clone, Debug, Default)]
pub(super) struct ServedParts {
    /// Sorted by part.
    parts: Vec<ServedPart>,
}

impl ServedParts {
    /// Returns when this process last observed an engine answer a request with a part.
    pub(super) fn own_serving(&self, part: &PromptPart) -> Option<MilliTime> {
        let served = self.parts[self.find(part).ok()?];
        served.is_observed.then_some(served.at)
    }

    /// Returns whether a request is known to have been served with a part.
    pub(super) fn contains(&self, part: &PromptPart) -> bool {
        self.find(part).is_ok()
    }

    /// Records when a part was served; what another process reports does not replace what this one has observed.
    pub(super) fn insert(&mut self, served: ServedPart) {
        match self.find(&served.part) {
            Ok(index) if served.is_observed || !self.parts[index].is_observed => {
                self.parts[index] = served;
            }
            Ok(_) => {}
            Err(index) => self.parts.insert(index, served),
        }
        if self.parts.len() > MAX_SERVED {
            self.drop_older_half();
        }
    }

    fn find(&self, part: &PromptPart) -> Result<usize, usize> {
        self.parts.binary_search_by_key(part, |served| served.part)
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<MilliTime> = self.parts.iter().map(|served| served.at).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.parts.retain(|served| served.at > median);
    }
}
