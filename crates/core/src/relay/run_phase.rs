use serde::Deserialize;
use serde::Serialize;

/// How far a run of a request has come, as far as its engine may be lost because of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunPhase {
    /// No event has arrived, or the answer has only just begun.
    ///
    /// A request that crashes engines does so in this phase.
    Starting,
    /// The answer has outlasted its start, so that the loss of the engine is likely to have another cause.
    Established,
}

impl RunPhase {
    /// Returns the name of the phase as it appears in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunPhase::Starting => "starting",
            RunPhase::Established => "established",
        }
    }
}
