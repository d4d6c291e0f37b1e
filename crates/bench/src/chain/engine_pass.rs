/// The work of one pass of an engine.
#[derive(Debug, Default)]
pub(super) struct EnginePass {
    /// The requests for which the pass decodes tokens.
    pub(super) decoded: Vec<usize>,
    /// The requests whose prefill the pass completes.
    pub(super) prefilled: Vec<usize>,
}
