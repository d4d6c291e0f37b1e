use serde::Deserialize;
use serde::Serialize;

/// The faults that an engine stand-in injects, also set by `PUT /engine/faults`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Whether the engine accepts requests, but neither runs nor answers them until this is `false`
    /// again.
    ///
    /// `/engine/faults`, `/engine/stats` and `/engine/crash` still answer.
    pub frozen: bool,
    /// The factor by which the time of each batch is multiplied; 0 counts as 1.
    pub slow_factor: u64,
    /// The number of tokens after which a whole-model engine closes the stream of each answer, or
    /// `None` to stream whole answers.
    pub cut_after: Option<u32>,
    /// Whether orders with a stale fencing token are carried out.
    pub ignore_fence: bool,
}
