use dandelionroad_core::time::MilliTime;

/// The place of a request in the queue for engine capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuePlace {
    /// The service whose engines it waits for.
    pub(super) service: u64,
    /// Its priority; 0 is the highest.
    pub(super) priority: u8,
    /// Its client account in the fair queue.
    pub(super) account: u64,
    /// Its work in tokens, if it was decided already that it waits.
    pub(super) tokens: Option<f64>,
    /// The time until which it waits.
    pub(super) until: MilliTime,
}
