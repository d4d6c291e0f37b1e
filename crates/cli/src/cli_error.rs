use snafu::Snafu;

use crate::exit_status::ExitStatus;

/// A reason why a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// A file can't be read.
    #[snafu(display(
        "can't read {path}: {source}; give a readable file, or none to read standard input"
    ))]
    File {
        path: String,
        source: std::io::Error,
    },
    /// The address or path is not valid.
    #[snafu(display("{detail}; check --address or DANDELIONROAD_ADMIN_ADDRESS"))]
    Address { detail: String },
    /// No administration token is set.
    #[snafu(display("the administration token is missing; set DANDELIONROAD_ADMIN_TOKEN"))]
    Token,
    /// The entry can't be reached.
    #[snafu(display("{address} can't be reached: {detail}; try another entry"))]
    Unreachable { address: String, detail: String },
    /// The response was lost after the request may have taken effect.
    #[snafu(display(
        "the response from {address} was lost: {detail}; apply the same ticket again, which has no \
         effect if it was accepted"
    ))]
    ResponseLost { address: String, detail: String },
    /// The entry refused the request.
    #[snafu(display("{message}"))]
    Refused { status: u16, message: String },
    /// The response is not one that this version understands.
    #[snafu(display("unexpected response: {detail}; use the entry's version of dandelionctl"))]
    BadResponse { detail: String },
}

impl CliError {
    /// Returns the exit status for the error.
    pub(crate) fn status(&self) -> ExitStatus {
        match self {
            CliError::File { .. } | CliError::Address { .. } | CliError::Token => ExitStatus::Usage,
            CliError::ResponseLost { .. } => ExitStatus::Unknown,
            CliError::Unreachable { .. } | CliError::BadResponse { .. } => ExitStatus::Unreachable,
            CliError::Refused { status, .. } => match status {
                401 => ExitStatus::Unreachable,
                404 => ExitStatus::NotFound,
                503 => ExitStatus::NotRun,
                _ => ExitStatus::Usage,
            },
        }
    }
}
