/// The reason for which waiting for progress of a run was given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StallReason {
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// An engine of the chain is suspected of being dead, and another chain can take over.
    EngineLost,
    /// A shared part of the prompt is refused by now because it crashes engines.
    Refused,
    /// The run made no progress within the time-out, and another chain can take over.
    Stalled,
}
