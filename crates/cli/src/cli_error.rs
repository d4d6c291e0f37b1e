use snafu::Snafu;

use crate::exit_status::ExitStatus;

/// A reason why a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// A file can't be read.
    #[snafu(display(
        "can't read {path}: {source}; name a readable file or none for standard input"
    ))]
    File {
        path: String,
        source: std::io::Error,
    },
    /// The address or path is not valid.
    #[snafu(display("{detail}; check --address or DANDELIONROAD_ADMIN_ADDRESS"))]
    Address { detail: String },
    /// No token is set.
    #[snafu(display("no token; set DANDELIONROAD_ADMIN_TOKEN"))]
    Token,
    /// The entry can't be reached.
    #[snafu(display("{address} can't be reached: {detail}; try another entry"))]
    Unreachable { address: String, detail: String },
    /// The answer to a ticket was lost.
    #[snafu(display(
        "the answer of {address} was lost: {detail}; apply the same ticket again, which has no \
         effect if it was accepted"
    ))]
    AnswerLost { address: String, detail: String },
    /// The entry refused the request.
    #[snafu(display("{message}"))]
    Refused { status: u16, message: String },
    /// The answer is not what this version understands.
    #[snafu(display("unexpected answer: {detail}; use the version of the entry"))]
    Answer { detail: String },
}

impl CliError {
    /// Returns the exit code for the error.
    pub(crate) fn status(&self) -> ExitStatus {
        match self {
            CliError::File { .. } | CliError::Address { .. } | CliError::Token => ExitStatus::Usage,
            CliError::AnswerLost { .. } => ExitStatus::Unknown,
            CliError::Unreachable { .. } | CliError::Answer { .. } => ExitStatus::Unreachable,
            CliError::Refused { status, .. } => match status {
                401 => ExitStatus::Unreachable,
                404 => ExitStatus::NotFound,
                503 => ExitStatus::NotRun,
                _ => ExitStatus::Usage,
            },
        }
    }
}
