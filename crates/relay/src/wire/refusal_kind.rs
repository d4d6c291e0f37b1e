/// Why dandelionroad answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalKind {
    /// The request can't be read, or has no identifier.
    BadRequest,
    /// No key, or one that no client account holds.
    UnknownKey,
    /// No route matches.
    NoRoute,
    /// The body is larger than allowed.
    TooLarge,
    /// No configuration is known yet, or it may be out of date.
    StaleConfig,
    /// The process is stopping.
    Leaving,
    /// No engine can run the request now.
    NoEngine,
    /// All engines are full.
    Overloaded,
    /// The request crashed the engines that ran it.
    Crasher,
    /// The request may have run, and its answer is lost.
    LostAnswer,
    /// The time is up, and the request may have run.
    TimedOut,
}

impl RefusalKind {
    /// Returns how a request is refused that got no answer.
    pub const fn unanswered(may_have_run: bool, is_late: bool) -> RefusalKind {
        match (may_have_run, is_late) {
            (false, _) => RefusalKind::NoEngine,
            (true, true) => RefusalKind::TimedOut,
            (true, false) => RefusalKind::LostAnswer,
        }
    }

    /// Returns the reason as it appears in logs, metrics and answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalKind::BadRequest => "bad-request",
            RefusalKind::UnknownKey => "unknown-key",
            RefusalKind::NoRoute => "no-route",
            RefusalKind::TooLarge => "too-large",
            RefusalKind::StaleConfig => "stale-config",
            RefusalKind::Leaving => "leaving",
            RefusalKind::NoEngine => "no-engine",
            RefusalKind::Overloaded => "overloaded",
            RefusalKind::Crasher => "crasher",
            RefusalKind::LostAnswer => "lost-answer",
            RefusalKind::TimedOut => "timed-out",
        }
    }

    /// Returns the HTTP status; 503 states that the request has not run and never will.
    pub const fn status(self) -> u16 {
        match self {
            RefusalKind::BadRequest => 400,
            RefusalKind::UnknownKey => 401,
            RefusalKind::NoRoute => 404,
            RefusalKind::TooLarge => 413,
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
