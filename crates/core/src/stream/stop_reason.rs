use serde::Deserialize;
use serde::Serialize;

/// Why a stream ended as a whole answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// The model produced its end token.
    Stop,
    /// The greatest number of tokens was generated.
    Length,
}
