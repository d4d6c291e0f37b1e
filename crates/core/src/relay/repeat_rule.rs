/// How often a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatRule {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request may run once at most.
    AtMostOnce,
    /// The answer is a stream of events that may go on at another engine after the last whole one.
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
