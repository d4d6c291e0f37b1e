use serde::Deserialize;
use serde::Serialize;

/// How a stage failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process of the stage took the request and can't be reached over a new connection.
    Unreachable,
    /// The stage made no progress before its deadline.
    Silent,
    /// The engine of the stage crashed while it ran the request.
    EngineCrash,
    /// The stage took no work: it is leaving or overloaded, or could not be reached at all.
    Refused,
}
