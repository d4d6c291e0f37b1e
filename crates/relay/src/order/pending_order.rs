use dandelionroad_core::stream::LayerRange;
use dandelionroad_core::time::MilliTime;

/// An order that was sent, but whose effect is not yet visible in the list of engines.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    /// The identifier of the engine.
    pub(super) id: String,
    /// The start time of the engine's incarnation, in milliseconds since the Unix epoch.
    pub(super) started_ms: u64,
    /// The layers that the engine was ordered to load.
    pub(super) layers: LayerRange,
    /// When the order counts as failed.
    pub(super) expiry: MilliTime,
}
