use dandelionroad_core::stream::LayerRange;

/// The state that an engine reports of itself.
///
/// Engines refresh it at an interval, so it is some hundred milliseconds old.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The loaded layers; empty if there are none.
    pub layers: LayerRange,
    /// Whether the engine is carrying out a placement order.
    pub is_busy: bool,
    /// The number of placement orders that the engine has accepted since its start.
    pub order_count: u64,
    /// The number of queued and running requests.
    pub requests: u32,
    /// The KV memory that requests occupy, in tokens times layers.
    pub used_units: f64,
    /// The ratio of the engine's present step times to its usual ones; above 1 the engine is slow.
    pub slowness: f64,
    /// The addresses of the engines on which requests at this engine are waiting.
    pub stalled_on: Vec<String>,
}
