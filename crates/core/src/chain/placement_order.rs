use crate::stream::LayerRange;

/// The layers that an engine is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementOrder {
    /// The identifier of the engine.
    pub id: String,
    /// The layers.
    pub layers: LayerRange,
}
