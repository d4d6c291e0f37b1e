use serde::Deserialize;
use serde::Serialize;

use crate::outcome::RefusalReason;

use super::FaultKind;
use super::StopReason;

/// An event that the head of a route sends to the entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamEvent {
    /// A token was generated.
    Token {
        /// The attempt that generated it.
        attempt: u32,
        /// The position of the token; the first one is 0.
        position: u32,
        /// The text of the token.
        text: String,
    },
    /// The answer is whole.
    End {
        /// The attempt that ended.
        attempt: u32,
        /// The number of tokens of the whole answer.
        position: u32,
        /// Why the answer ended.
        reason: StopReason,
    },
    /// The head took no work; nothing was run for this attempt.
    Refused {
        /// The attempt that was refused.
        attempt: u32,
        /// Why it was refused.
        reason: RefusalReason,
        /// The time after which a retry can succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// A stage failed and must be replaced.
    StageFault {
        /// The attempt in which it failed.
        attempt: u32,
        /// The position of the stage in the route.
        stage: usize,
        /// How it failed.
        kind: FaultKind,
    },
    /// The head is alive but has no token yet.
    Progress {
        /// The attempt.
        attempt: u32,
    },
}

impl StreamEvent {
    /// Returns the attempt that the event belongs to.
    pub fn attempt(&self) -> u32 {
        match self {
            StreamEvent::Token { attempt, .. }
            | StreamEvent::End { attempt, .. }
            | StreamEvent::Refused { attempt, .. }
            | StreamEvent::StageFault { attempt, .. }
            | StreamEvent::Progress { attempt } => *attempt,
        }
    }
}
