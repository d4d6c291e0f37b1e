/// The rows of a table that could not be decoded at the last read, each with the reason.
///
/// Rows of other writers stay for long and are read each second; each is to be logged once.
#[derive(Clone, Debug, Default)]
pub(super) struct IgnoredRows {
    /// Sorted by key.
    rows: Vec<(String, String)>,
}

impl IgnoredRows {
    /// Replaces the rows by those of a new read, and returns the ones that are new or have another reason.
    pub(super) fn replace(&mut self, mut rows: Vec<(String, String)>) -> Vec<(String, String)> {
        rows.sort();
        let is_new = |row: &&(String, String)| self.rows.binary_search(row).is_err();
        let new = rows.iter().filter(is_new).cloned().collect();
        self.rows = rows;
        new
    }
}
