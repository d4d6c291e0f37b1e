use serde::Deserialize;
use serde::Serialize;

/// The role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Beside one engine or plain service.
    Endpoint,
    /// On an entry host, towards callers.
    Entry,
}
