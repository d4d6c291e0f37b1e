use crate::time::MilliTime;

use super::CallRow;

/// Selects the rows of calls that are past their retention.
///
/// The rows of one key are deleted together, after the newest of them has expired: if the void row
/// of an early attempt were deleted first, a repeated call would dispatch that attempt again
/// although a later one has run.
#[derive(Clone, Copy, Debug)]
pub struct RowSweep {
    retention_ms: u64,
}

impl RowSweep {
    /// Creates a sweep that keeps rows for `retention_ms` milliseconds.
    pub fn new(retention_ms: u64) -> RowSweep {
        RowSweep { retention_ms }
    }

    /// Returns the indexes of the rows to delete in a page of rows sorted by key.
    ///
    /// Each row is given as its table key and its content, or `None` if the content can't be read;
    /// a key with such a row is kept. Unless `is_last_page`, the last key may continue on the next
    /// page and is kept.
    pub fn expired(
        &self,
        rows: &[(&str, Option<CallRow>)],
        is_last_page: bool,
        now: MilliTime,
    ) -> Vec<usize> {
        let mut expired = Vec::new();
        let mut first = 0;
        while first < rows.len() {
            let name = call_name(rows[first].0);
            let count = rows[first..].partition_point(|(key, _)| call_name(key) == name);
            let end = first + count;
            let is_complete = end < rows.len() || is_last_page;
            if is_complete
                && rows[first..end]
                    .iter()
                    .all(|(_, row)| self.is_old(row, now))
            {
                expired.extend(first..end);
            }
            first = end;
        }
        expired
    }

    /// Returns the table key after which the next page starts, or `None` to start at the first row.
    ///
    /// It is the last row of the last key that is complete on this page.
    pub fn resume_key<'a>(&self, keys: &[&'a str], is_last_page: bool) -> Option<&'a str> {
        if is_last_page {
            return None;
        }
        let last = call_name(keys.last()?);
        let complete_rows = keys.partition_point(|key| call_name(key) != last);
        // A key with more attempts than a page holds is skipped.
        complete_rows
            .checked_sub(1)
            .map_or(keys.last().copied(), |index| Some(keys[index]))
    }

    fn is_old(&self, row: &Option<CallRow>, now: MilliTime) -> bool {
        let written = row
            .as_ref()
            .map(|row| MilliTime::from_millis(row.written_ms()));
        written.is_some_and(|written| now.since(written) > self.retention_ms)
    }
}

/// Returns the table key without the attempt.
fn call_name(key: &str) -> &str {
    key.rsplit_once('/').map_or(key, |(name, _)| name)
}
