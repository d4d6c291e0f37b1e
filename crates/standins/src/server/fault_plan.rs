use serde::Deserialize;
use serde::Serialize;

use super::ServerMode;

/// The faults that a stand-in shows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Whether connections are accepted and requests handled.
    pub mode: ServerMode,
    /// The delay of each request before its effect, in milliseconds.
    pub delay_ms: u64,
    /// The delay of each answer after the effect, in milliseconds.
    pub answer_delay_ms: u64,
    /// The number of coming writes whose connection is cut before the effect.
    pub cut_before: u32,
    /// The number of coming writes that take effect but whose connection is cut unanswered.
    pub cut_after: u32,
    /// The number of coming writes at which the stand-in goes down before the effect.
    pub crash_before: u32,
    /// The number of coming writes at which the stand-in goes down after the effect, unanswered.
    pub crash_after: u32,
    /// Whether the host list answers with the state at the time the switch was set.
    pub lags: bool,
    /// Whether requests with a fencing number below the highest seen are rejected.
    pub checks_fence: bool,
}
