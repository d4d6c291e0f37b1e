use serde::Deserialize;
use serde::Serialize;

use crate::ident::EndpointName;
use crate::stream::LayerRange;

/// A ready endpoint in a [`ReadyRow`](super::ReadyRow).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadyEntry {
    /// The name of the endpoint.
    pub name: EndpointName,
    /// The version that it serves.
    pub version: u32,
    /// The layers that it serves.
    pub range: LayerRange,
}
