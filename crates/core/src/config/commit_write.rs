/// A write of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommitWrite {
    /// The key of the row.
    pub key: String,
    /// The new value.
    pub value: String,
}
