use serde::Deserialize;
use serde::Serialize;

/// The input or output of a stage for one position.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepPayload {
    /// Text: the prompt at position 0, the last generated token at later positions.
    Text(String),
    /// An intermediate activation, encoded as base64 by the engine adapter.
    Activation(String),
}
