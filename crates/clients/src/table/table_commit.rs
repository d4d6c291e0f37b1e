use serde::Deserialize;
use serde::Serialize;

use super::RowCheck;
use super::RowWrite;

/// A transaction: if all checks hold, all writes take effect; otherwise none does.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCommit {
    /// The versions that rows must have for the commit to take effect.
    pub checks: Vec<RowCheck>,
    /// The rows to write or delete.
    pub writes: Vec<RowWrite>,
}
