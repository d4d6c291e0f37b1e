use serde::Deserialize;
use serde::Serialize;

/// The role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Runs beside one engine or plain service and gives it work.
    Endpoint,
    /// Runs on an entry host and accepts requests from callers.
    Entry,
}
