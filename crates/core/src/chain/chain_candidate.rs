use crate::relay::EngineEntry;
use crate::stream::LayerRange;

/// An engine that can be a stage of a chain, with its current cost.
pub(super) struct ChainCandidate<'a> {
    pub(super) entry: &'a EngineEntry,
    /// The layers that it holds.
    pub(super) layers: LayerRange,
    /// The expected time of a token step per layer under the current load, in milliseconds.
    pub(super) layer_ms: f64,
    /// The time of a token step per layer for a single request, in milliseconds.
    pub(super) unloaded_ms: f64,
    /// The expected time that a new prompt waits for the prefill of earlier ones, in milliseconds.
    pub(super) prefill_wait_ms: f64,
    /// The maximum number of layers for which it has free KV memory for the request's tokens.
    pub(super) max_layers: u16,
    /// Whether it has a free slot for a request as the first engine of a chain.
    pub(super) has_free_slot: bool,
}
