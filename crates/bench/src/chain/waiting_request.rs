/// A request that waits for KV memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    /// Its number in the queue of its entry.
    pub(super) number: u64,
    /// Its index in the simulation.
    pub(super) request: usize,
}
