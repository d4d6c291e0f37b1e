use dandelionroad_core::route::LoadReport;
use dandelionroad_core::stream::StreamEvent;
use serde::Deserialize;
use serde::Serialize;

/// An item of the event stream of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamItem {
    /// The event that the head sends to the entry.
    pub event: StreamEvent,
    /// The load of the head; sent with every event other than a token.
    pub load: Option<LoadReport>,
    /// The configuration revision of the head; sent with every event other than a token.
    pub revision: Option<u64>,
}
