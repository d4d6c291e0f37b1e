use serde::Deserialize;
use serde::Serialize;

/// What an endpoint's process knows about an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallState {
    /// The call is running, or its outcome is being recorded.
    Running,
    /// This incarnation of the process does not know the attempt.
    Absent,
}
