/// The reason for which a run counts as stalled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StallReason {
    /// An engine of the chain is suspected of being dead.
    EngineLost,
    /// The run made no progress within the time-out.
    Stalled,
}

impl StallReason {
    /// Returns the text for logs.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            StallReason::EngineLost => "engine lost",
            StallReason::Stalled => "stalled",
        }
    }
}
