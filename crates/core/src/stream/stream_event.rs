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
        /// The attempt that generated the token.
        attempt: u32,
        /// The position of the token, starting at 0.
        position: u32,
        /// The text of the token.
        text: String,
    },
    /// The length of the complete answer is known; sent before its last token.
    End {
        /// The attempt that completed the answer.
        attempt: u32,
        /// The number of tokens of the complete answer.
        position: u32,
        /// Why the answer is complete.
        reason: StopReason,
    },
    /// The head did not accept the request; nothing was run in this attempt.
    Refused {
        /// The attempt that was refused.
        attempt: u32,
        /// Why the attempt was refused.
        reason: RefusalReason,
        /// The time after which a retry can succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// A stage failed and must be replaced.
    StageFault {
        /// The attempt in which the stage failed.
        attempt: u32,
        /// The index of the stage in the route.
        stage: usize,
        /// How the stage failed.
        kind: FaultKind,
    },
    /// A keep-alive: the head is running and has no new token.
    Progress {
        /// The attempt that the head runs.
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
