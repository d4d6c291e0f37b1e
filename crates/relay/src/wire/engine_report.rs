use dandelionroad_core::stream::LayerRange;

/// The state of an engine as of some hundred milliseconds ago.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The layers that it holds; empty for none.
    pub layers: LayerRange,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// The number of orders that it accepted since its start.
    pub order_count: u64,
    /// The requests that wait and run.
    pub requests: u32,
    /// The memory in use by requests, in tokens times layers.
    pub used_units: f64,
    /// The factor on its usual times; above 1 it is slow.
    pub slowness: f64,
    /// The addresses of engines for which requests of this one wait.
    pub stalled_on: Vec<String>,
}
