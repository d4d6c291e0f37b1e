use serde::Deserialize;
use serde::Serialize;

/// The answer of the table service to a commit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitReply {
    /// The commit took effect.
    Committed,
    /// A check failed, so nothing was written.
    Conflict {
        /// The key of the first row whose check failed.
        key: String,
    },
}
