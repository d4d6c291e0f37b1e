use serde::Deserialize;
use serde::Serialize;

/// The fault switches of an engine stand-in, also set by `PUT /engine/faults`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Takes requests but answers none, and runs nothing.
    pub frozen: bool,
    /// Multiplies the time of each batch; 0 and 1 leave it as it is.
    pub slow_factor: u64,
    /// Cuts each answer of a whole-model engine after this number of tokens.
    pub cut_after: Option<u32>,
    /// Obeys orders whatever their fencing number.
    pub ignore_fence: bool,
}
