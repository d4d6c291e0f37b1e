use dandelionroad_core::route::LoadReport;
use dandelionroad_core::stream::StreamEvent;
use serde::Deserialize;
use serde::Serialize;

/// An item of a stream subscription.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamItem {
    /// The event.
    pub event: StreamEvent,
    /// The load of the head; sent with every event but tokens.
    pub load: Option<LoadReport>,
    /// The configuration revision that the head holds; sent with every event but tokens.
    pub revision: Option<u64>,
}
