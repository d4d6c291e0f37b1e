use serde::Deserialize;

/// The model of a fleet; times are those of an accelerator with both factors at 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetModel {
    /// The number of layers.
    pub layers: u16,
    /// The weights of a layer, in megabytes.
    pub layer_mb: f64,
    /// The memory of a token over all layers, in bytes.
    pub token_bytes: f64,
    /// The requests that an engine takes as the first of a chain.
    pub slots: u32,
    /// The fixed time of a token step, in milliseconds.
    pub step_ms: f64,
    /// The time that a writing request adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// The time that 1,000 tokens of its context add, in milliseconds.
    pub context_ms: f64,
    /// The prompt tokens that are read in a millisecond.
    pub read_per_ms: f64,
    /// The prompt tokens of a pass at most.
    pub chunk_tokens: f64,
    /// The token steps of a pass, and the tokens of an event.
    pub pass_steps: f64,
    /// The time to load all layers, in milliseconds.
    pub load_ms: f64,
    /// The bytes of a token between two engines.
    pub activation_bytes: f64,
    /// The rate between availability zones, in megabits a second.
    pub pipe_mbps: f64,
}
