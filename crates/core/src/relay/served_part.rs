use crate::time::MilliTime;

use super::PromptPart;

/// A prompt part that a request was served with.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServedPart {
    pub(super) part: PromptPart,
    /// The time at which an engine last answered such a request.
    pub(super) at: MilliTime,
    /// Whether this process saw it itself.
    ///
    /// The time that another process tells is too late by its time on the way, and would drift if it were
    /// passed on.
    pub(super) is_seen: bool,
}

impl ServedPart {
    /// Creates the record of an answer that this process sees.
    pub(super) fn seen(part: PromptPart, at: MilliTime) -> ServedPart {
        ServedPart {
            part,
            at,
            is_seen: true,
        }
    }

    /// Creates the record of an answer that another process tells.
    pub(super) fn told(part: PromptPart, at: MilliTime) -> ServedPart {
        ServedPart {
            part,
            at,
            is_seen: false,
        }
    }
}
