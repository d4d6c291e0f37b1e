/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatRule {
    /// The request is idempotent and may run several times.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is an event stream that another engine may resume after the last complete event.
    Resumable,
}

impl RepeatRule {
    /// Returns whether a request that may have run may be sent again.
    pub const fn allows_repeat(self) -> bool {
        match self {
            RepeatRule::Idempotent | RepeatRule::Resumable => true,
            RepeatRule::AtMostOnce => false,
        }
    }
}
