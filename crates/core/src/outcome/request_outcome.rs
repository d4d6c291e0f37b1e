use serde::Deserialize;
use serde::Serialize;

/// What is known about a request that has no ordinary answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// Proved: the request was never handed to an engine or service, or its row was voided first.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and the service or engine said no.
    Failed,
}

impl RequestOutcome {
    /// Returns the text of the header `x-dandelionroad-outcome`.
    pub const fn as_str(self) -> &'static str {
        match self {
            RequestOutcome::NotRun => "not-run",
            RequestOutcome::Unknown => "unknown",
            RequestOutcome::Failed => "failed",
        }
    }
}
