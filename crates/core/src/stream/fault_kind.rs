use serde::Deserialize;
use serde::Serialize;

/// How a stage failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process of the stage can't be reached over a new connection.
    Unreachable,
    /// The stage made no progress before its deadline.
    Silent,
    /// The engine of the stage crashed while it ran the request.
    EngineCrash,
    /// The stage refused the request because it is leaving or overloaded.
    Refused,
}
