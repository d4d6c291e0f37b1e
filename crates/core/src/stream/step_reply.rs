use serde::Deserialize;
use serde::Serialize;

use crate::outcome::RefusalReason;

/// The answer of a stage to a [`StepMessage`](super::StepMessage).
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepReply {
    /// The inputs were accepted or had been received before.
    Accepted,
    /// The stage lacks inputs; the sender replays from `expected` with the order.
    Gap {
        /// The position that the stage needs next.
        expected: u32,
    },
    /// The attempt is older than the newest one that the stage has seen.
    Stale {
        /// The newest attempt that the stage has seen.
        newest: u32,
    },
    /// The stage did not accept the request; nothing was run.
    Refused {
        /// Why the stage refused.
        reason: RefusalReason,
    },
}
