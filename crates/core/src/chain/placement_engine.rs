use crate::stream::LayerRange;

/// An engine to which layers can be assigned.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementEngine {
    /// The identifier of the engine.
    pub id: String,
    /// The availability zone of its host.
    pub zone: String,
    /// The name of its kind of accelerator.
    pub kind: String,
    /// The layers that it holds or is loading; empty if it has none.
    pub layers: LayerRange,
    /// Whether it is carrying out an order and must not get another one.
    pub has_pending_order: bool,
}
