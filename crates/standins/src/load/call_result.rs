use super::CallOutcome;
use super::LoadKind;

/// The outcome and the latencies of one request of a load test.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The kind, which decides the path and the body of the request.
    pub kind: LoadKind,
    /// Whether the request was answered, and why not otherwise.
    pub outcome: CallOutcome,
    /// The time to the first token, or to the answer of a plain service, in milliseconds.
    pub first_ms: Option<f64>,
    /// The times between consecutive tokens, in milliseconds.
    pub token_intervals_ms: Vec<f64>,
    /// The time to the end of the answer, in milliseconds.
    pub total_ms: f64,
}
