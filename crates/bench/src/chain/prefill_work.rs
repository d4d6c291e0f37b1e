/// A prompt in the prefill queue of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillWork {
    pub(super) request: usize,
    /// The tokens that are not prefilled yet.
    pub(super) tokens_left: f64,
}
