use serde::Deserialize;

/// The memory and relative speed of one kind of accelerator.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AcceleratorKind {
    /// The name, by which engine records refer to the kind.
    pub name: String,
    /// The memory for weights and KV cache, in megabytes.
    pub memory_mb: f64,
    /// The multiplier on the time of a decode step.
    pub step_factor: f64,
    /// The multiplier on the time of prompt prefill.
    pub read_factor: f64,
}
