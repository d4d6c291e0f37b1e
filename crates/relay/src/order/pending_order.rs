use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;

/// An order whose effect is not listed yet.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    /// The identifier of the engine.
    pub(super) id: String,
    /// The start of the engine's incarnation, in milliseconds since the Unix epoch.
    pub(super) started_ms: u64,
    /// The layers that it is to hold.
    pub(super) layers: LayerRange,
    /// When the order counts as without effect.
    pub(super) until: MilliTime,
}
