use super::CallOutcome;
use super::LoadKind;

/// One request of a load.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The kind.
    pub kind: LoadKind,
    /// How it ended.
    pub outcome: CallOutcome,
    /// From the start to the first token, or to the answer of a plain service, in milliseconds.
    pub first_ms: Option<f64>,
    /// Between two tokens, in milliseconds.
    pub token_intervals_ms: Vec<f64>,
    /// From the start to the end, in milliseconds.
    pub total_ms: f64,
}
