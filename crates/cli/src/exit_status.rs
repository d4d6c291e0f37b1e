use std::process::ExitCode;

/// The exit codes, which the help text documents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command line or an environment variable is invalid, a file can't be read, or the entry
    /// refuses the request; a ticket with faults gives [`ExitStatus::Invalid`].
    Usage = 1,
    /// The ticket has faults; nothing was changed.
    Invalid = 2,
    /// The ticket is superseded or in conflict; nothing was changed.
    Refused = 3,
    /// The table service is down or busy; nothing was changed, and the command can be repeated.
    NotRun = 4,
    /// The ticket may have taken effect; it is safe to apply the same ticket again.
    Unknown = 5,
    /// The revision was not in force at all processes before the timeout.
    Lagging = 6,
    /// The entry can't be reached, rejects the token or sends an unexpected response.
    Unreachable = 7,
    /// There is no such object, or no log line about the request.
    NotFound = 8,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}
