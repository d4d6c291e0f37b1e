use std::fmt;

/// How one request of a load ended.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallOutcome {
    /// The whole answer arrived, and it is the expected one where that can be computed.
    Answered,
    /// The connection broke, or the answer ended without its closing event.
    CutOff(String),
    /// The entry refused the request or ended it with an error.
    Refused {
        /// The outcome of the callers' API.
        outcome: String,
        /// The refusal reason.
        reason: String,
    },
    /// An answer arrived that looks whole and is not the expected one.
    Wrong(String),
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallOutcome::Answered => write!(formatter, "answered"),
            CallOutcome::CutOff(detail) => write!(formatter, "cut off: {detail}"),
            CallOutcome::Refused { outcome, reason } => write!(formatter, "{outcome}: {reason}"),
            CallOutcome::Wrong(detail) => write!(formatter, "wrong answer: {detail}"),
        }
    }
}
