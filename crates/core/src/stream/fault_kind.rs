use serde::Deserialize;
use serde::Serialize;

/// How a stage failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process of the stage accepted the request and can't be reached over a new connection.
    Unreachable,
    /// The stage made no progress before its deadline.
    Silent,
    /// The engine of the stage crashed while it ran the request.
    EngineCrash,
    /// The stage or its engine rejected the work, for example because it is leaving or overloaded,
    /// or the process of the stage was never reached.
    Refused,
}
