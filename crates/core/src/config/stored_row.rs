/// A row of the table service as the ticket decisions read it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRow {
    /// The key.
    pub key: String,
    /// The version; each write of the row raises it.
    pub version: u64,
    /// The value.
    pub value: String,
}
