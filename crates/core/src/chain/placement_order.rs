use crate::stream::LayerRange;

/// An order to an engine to hold a range of layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementOrder {
    /// The identifier of the engine.
    pub id: String,
    /// The layers to hold.
    pub layers: LayerRange,
}
