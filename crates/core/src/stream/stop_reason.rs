use serde::Deserialize;
use serde::Serialize;

/// Why an answer is complete.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// The model produced its end token.
    Stop,
    /// The maximum number of tokens was generated.
    Length,
}
