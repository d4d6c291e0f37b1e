/// A write of one row in a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommitWrite {
    /// The key of the row.
    pub key: String,
    /// The new value of the row.
    pub value: String,
}
