/// Why waiting for a run ended without a sign of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StallEnd {
    /// The time of the request is over.
    OutOfTime,
    /// An engine of its chain is said to be dead, and another chain can take over.
    EngineLost,
    /// It gave no sign for long, and another chain can take over.
    Stalled,
}
