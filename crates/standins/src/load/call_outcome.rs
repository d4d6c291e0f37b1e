use std::fmt;

/// The outcome of one request of a load test.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallOutcome {
    /// The complete answer arrived, and it equals the expected answer if one was given.
    Answered,
    /// The connection failed, or the stream ended without its closing event.
    CutOff(String),
    /// The entry refused the request or ended it with an error.
    Refused {
        /// The `outcome` field of the error.
        outcome: String,
        /// The `reason` field of the error.
        reason: String,
    },
    /// A complete answer arrived that differs from the expected one.
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
