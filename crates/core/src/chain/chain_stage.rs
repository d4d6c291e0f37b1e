use std::net::SocketAddr;

use crate::stream::LayerRange;

/// One engine of a chain and the layers that it runs there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChainStage {
    /// The identifier of the engine.
    pub id: String,
    /// Where the engine takes requests.
    pub address: SocketAddr,
    /// The layers that it runs, all or a part of those that it holds.
    pub layers: LayerRange,
}
