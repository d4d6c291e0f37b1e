use serde::Deserialize;
use serde::Serialize;

use super::RowCheck;
use super::RowWrite;

/// A transaction: if every check holds, every write takes effect; otherwise none does.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableCommit {
    /// The conditions.
    pub checks: Vec<RowCheck>,
    /// The writes.
    pub writes: Vec<RowWrite>,
}
