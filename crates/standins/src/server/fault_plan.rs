use serde::Deserialize;
use serde::Serialize;

use super::ServerMode;

/// The faults that a stand-in injects.
///
/// Writes are commits to the table service, stored objects and bookings.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Whether connections are accepted and requests handled.
    pub mode: ServerMode,
    /// The delay of each request before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The delay of each answer after the request took effect, in milliseconds.
    pub answer_delay_ms: u64,
    /// The number of upcoming writes that have no effect and whose connection is cut.
    pub cut_before: u32,
    /// The number of upcoming writes that take effect, but whose connection is cut before the
    /// answer.
    pub cut_after: u32,
    /// The number of upcoming writes that have no effect and set the mode to `Down`.
    pub crash_before: u32,
    /// The number of upcoming writes that take effect and set the mode to `Down` before the answer.
    pub crash_after: u32,
    /// Whether the host list returns the state that it had when this switch was set.
    pub lags: bool,
    /// Whether bookings with a fencing token below the highest one received are rejected.
    pub checks_fence: bool,
}
