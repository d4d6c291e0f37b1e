use crate::stream::LayerRange;

/// An engine to which layers can be given.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementEngine {
    /// The identifier.
    pub id: String,
    /// The availability zone.
    pub zone: String,
    /// The kind of accelerator.
    pub kind: String,
    /// The layers that it holds or is loading; empty for none.
    pub layers: LayerRange,
    /// Whether it carries out an order and must not be given another one.
    pub has_pending_order: bool,
}
