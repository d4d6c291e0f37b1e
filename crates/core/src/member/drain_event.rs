/// What happens to a process that may be asked to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainEvent {
    /// The process was told to stop, or learned that its host is leaving.
    StopAsked,
    /// The number of requests in flight, including outcomes that are not yet written.
    WorkCounted(usize),
    /// Time has passed.
    Tick,
}
