use serde::Deserialize;
use serde::Serialize;

/// The load of an endpoint, as attached to its replies.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The queued work, in work units.
    pub queued_units: u64,
    /// The running work, in work units.
    pub running_units: u64,
    /// The completion rate, in work units per second; 0 counts as unknown.
    pub units_per_second: u64,
}
