use crate::time::MilliTime;

use super::PromptPart;

/// A prompt part that a request was served with.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServedPart {
    pub(super) part: PromptPart,
    /// The time at which an engine last answered such a request.
    pub(super) at: MilliTime,
    /// Whether this process observed it itself.
    ///
    /// The time that another process reports is too late by its time on the way, and would drift if it were
    /// passed on.
    pub(super) is_observed: bool,
}

impl ServedPart {
    /// Creates the record of an answer that this process observes.
    pub(super) fn observed(part: PromptPart, at: MilliTime) -> ServedPart {
        ServedPart {
            part,
            at,
            is_observed: true,
        }
    }

    /// Creates the record of an answer that another process reports.
    pub(super) fn reported(part: PromptPart, at: MilliTime) -> ServedPart {
        ServedPart {
            part,
            at,
            is_observed: false,
        }
    }
}
