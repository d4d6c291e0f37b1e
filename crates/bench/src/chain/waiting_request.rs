/// A request that waits for room.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) number: u64,
    pub(super) request: usize,
}
