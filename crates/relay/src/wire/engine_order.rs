use dandelionroad_core::stream::LayerRange;

/// A placement order: tells a model engine which layers to load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineOrder<'a> {
    /// The identifier of the engine; another engine at its address must reject the order.
    pub engine: &'a str,
    /// The layers that the engine loads.
    pub layers: LayerRange,
    /// The number of orders that the engine has accepted so far, as a precondition: with another
    /// number it rejects this order.
    pub expected_count: u64,
}
