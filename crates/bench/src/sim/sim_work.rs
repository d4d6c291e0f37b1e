/// The work of one stage of a request: the prefill of its prompt, or the decoding of one token.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimWork {
    pub(super) request: usize,
    pub(super) attempt: u32,
    pub(super) stage: usize,
    /// The remaining cost, in work units.
    pub(super) units: u64,
}
