use serde::Deserialize;

/// The memory and speed of one kind of accelerator.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AcceleratorKind {
    /// The name of the kind.
    pub name: String,
    /// The memory for weights and requests, in megabytes.
    pub memory_mb: f64,
    /// The factor on the time of a token step.
    pub step_factor: f64,
    /// The factor on the time to read prompts.
    pub read_factor: f64,
}
