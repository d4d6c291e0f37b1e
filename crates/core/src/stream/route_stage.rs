use serde::Deserialize;
use serde::Serialize;

use crate::ident::EndpointName;

use super::LayerRange;

/// One stage of a route: the endpoint, its internal address and the layers it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteStage {
    /// The endpoint that runs the stage.
    pub endpoint: EndpointName,
    /// The internal address of the endpoint's process, as `ip:port`.
    pub address: String,
    /// The layers that the stage runs, within the range that the endpoint holds.
    pub range: LayerRange,
}
