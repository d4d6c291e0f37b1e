/// The reason for which the relay ends a request with a response of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalKind {
    /// The request is malformed or has no identifier.
    BadRequest,
    /// The API key is missing or belongs to no client account.
    UnknownKey,
    /// No route matches the host and path.
    NoRoute,
    /// The head exceeds the configured limit.
    LargeHead,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The body was not whole by the deadline.
    SlowBody,
    /// There is no configuration yet, or it may be out of date.
    StaleConfig,
    /// The process is shutting down.
    Leaving,
    /// No engine can run the request at present.
    NoEngine,
    /// All engines are at capacity.
    Overloaded,
    /// The request has crashed engines that ran it, so no engine may run it again.
    Crasher,
    /// The request may have run, but its response was lost.
    LostAnswer,
    /// The deadline has passed, and the request may have run.
    TimedOut,
}

impl RefusalKind {
    /// Returns the refusal of a request to which no engine responded.
    pub const fn unanswered(may_have_run: bool, is_late: bool) -> RefusalKind {
        match (may_have_run, is_late) {
            (false, _) => RefusalKind::NoEngine,
            (true, true) => RefusalKind::TimedOut,
            (true, false) => RefusalKind::LostAnswer,
        }
    }

    /// Returns the reason as it appears in logs, metrics and responses.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalKind::BadRequest => "bad-request",
            RefusalKind::UnknownKey => "unknown-key",
            RefusalKind::NoRoute => "no-route",
            RefusalKind::LargeHead => "large-head",
            RefusalKind::TooLarge => "too-large",
            RefusalKind::SlowBody => "slow-body",
            RefusalKind::StaleConfig => "stale-config",
            RefusalKind::Leaving => "leaving",
            RefusalKind::NoEngine => "no-engine",
            RefusalKind::Overloaded => "overloaded",
            RefusalKind::Crasher => "crasher",
            RefusalKind::LostAnswer => "lost-answer",
            RefusalKind::TimedOut => "timed-out",
        }
    }

    /// Returns the HTTP status; 408 and 503 guarantee that the request has not run and never will.
    pub const fn status(self) -> u16 {
        match self {
            RefusalKind::BadRequest => 400,
            RefusalKind::UnknownKey => 401,
            RefusalKind::NoRoute => 404,
            RefusalKind::LargeHead => 431,
            RefusalKind::TooLarge => 413,
            RefusalKind::SlowBody => 408,
            RefusalKind::StaleConfig
            | RefusalKind::Leaving
            | RefusalKind::NoEngine
            | RefusalKind::Overloaded
            | RefusalKind::Crasher => 503,
            RefusalKind::LostAnswer => 502,
            RefusalKind::TimedOut => 504,
        }
    }
}
