use serde::Deserialize;
use serde::Serialize;

/// Whether a request that was refused or failed has run, as far as is known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// The request has provably not run: it was never sent to an engine or service, or its call row in
    /// the table service was voided before a byte of the call reached the service.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, and the service or engine returned an error or crashed.
    Failed,
}

impl RequestOutcome {
    /// Returns the value of the header `x-dandelionroad-outcome`.
    pub const fn as_str(self) -> &'static str {
        match self {
            RequestOutcome::NotRun => "not-run",
            RequestOutcome::Unknown => "unknown",
            RequestOutcome::Failed => "failed",
        }
    }
}
