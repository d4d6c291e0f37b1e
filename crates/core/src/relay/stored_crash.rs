use serde::Deserialize;
use serde::Serialize;

use super::EngineCrash;
use super::RunPhase;

/// A crash as it is kept in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredCrash {
    /// The request and the engine.
    pub crash: EngineCrash,
    /// The phase of the run on the engine.
    pub phase: RunPhase,
    /// The time since the request was last seen, in milliseconds.
    pub seen_age_ms: u32,
}
