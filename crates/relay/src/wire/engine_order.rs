use dandelionroad_core::stream::LayerRange;

/// An order to a model engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineOrder {
    /// The layers that it is to hold.
    pub layers: LayerRange,
    /// The number of orders that it must have accepted before, or it refuses this one.
    pub expected_count: u64,
}
