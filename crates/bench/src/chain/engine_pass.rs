/// What a pass of an engine did.
#[derive(Debug, Default)]
pub(super) struct EnginePass {
    /// Requests whose next tokens have passed its layers.
    pub(super) written: Vec<usize>,
    /// Requests whose prompts it has read to their ends.
    pub(super) read: Vec<usize>,
}
