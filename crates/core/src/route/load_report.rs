use serde::Deserialize;
use serde::Serialize;

/// The load of an endpoint when it sent a reply.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The work waiting in the queue, in work units.
    pub queued_units: u64,
    /// The work that is running, in work units.
    pub running_units: u64,
    /// The work that the endpoint completes, in work units per second.
    pub units_per_second: u64,
}
