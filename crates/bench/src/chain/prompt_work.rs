/// A prompt that an engine reads.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptWork {
    pub(super) request: usize,
    pub(super) tokens_left: f64,
}
