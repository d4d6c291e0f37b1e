use super::ChainStage;

/// A chain whose stages cover all layers of the model once and in order.
#[derive(Clone, Debug, PartialEq)]
pub struct FoundChain {
    /// The stages in order; the first one accepts the request.
    pub stages: Vec<ChainStage>,
    /// The number of hops between availability zones.
    pub crossings: usize,
    /// The time of a token step if the engines run no other request, in milliseconds.
    pub unloaded_step_ms: f64,
}
