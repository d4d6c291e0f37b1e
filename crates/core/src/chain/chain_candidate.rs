use crate::relay::EngineEntry;
use crate::stream::LayerRange;

/// An engine that may be a part of a chain, with its present cost.
pub(super) struct ChainCandidate<'a> {
    pub(super) entry: &'a EngineEntry,
    /// The layers that it holds.
    pub(super) layers: LayerRange,
    /// The expected time of a token step for each layer, in milliseconds.
    pub(super) layer_ms: f64,
    /// The time of a token step of a lone request for each layer, in milliseconds.
    pub(super) unloaded_ms: f64,
    /// The expected wait of a prompt for those that it reads before, in milliseconds.
    pub(super) wait_ms: f64,
    /// The most layers for which it has room for the request's tokens.
    pub(super) room_layers: u16,
    /// Whether it takes another request as the first of a chain.
    pub(super) may_start: bool,
}
