use serde::Deserialize;

/// A kind of accelerator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetKind {
    /// The name.
    pub name: String,
    /// The memory, in megabytes.
    pub memory_mb: f64,
    /// The factor on the time of steps.
    pub step_factor: f64,
    /// The factor on the time of reading.
    pub read_factor: f64,
}
