/// Work for one stage of a request: a prompt, or one token.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimWork {
    pub(super) request: usize,
    pub(super) attempt: u32,
    pub(super) stage: usize,
    /// The work for the engine, in work units.
    pub(super) units: u64,
}
