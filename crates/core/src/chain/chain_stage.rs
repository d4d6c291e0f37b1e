use std::net::SocketAddr;

use crate::stream::LayerRange;

/// One engine of a chain and the layers that it runs for the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainStage {
    /// The identifier of the engine.
    pub id: String,
    /// The address at which the engine accepts requests.
    pub address: SocketAddr,
    /// The layers that it runs; all or some of those that it holds.
    pub layers: LayerRange,
}
