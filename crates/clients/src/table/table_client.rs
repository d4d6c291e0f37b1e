use crate::ClientFuture;

use super::CommitReply;
use super::TableCommit;
use super::TableRow;

/// A client of the table service.
///
/// Every method fails with a [`PlatformError`](crate::PlatformError) after the client's deadline.
/// After [`Indeterminate`](crate::PlatformError::Indeterminate) a commit may have taken effect; reads
/// can always be repeated.
pub trait TableClient: Send + Sync {
    /// Commits a transaction: all of its writes, or none if a check fails.
    fn commit<'a>(&'a self, commit: &'a TableCommit) -> ClientFuture<'a, CommitReply>;

    /// Reads a row, or returns `None` if it does not exist.
    fn read<'a>(&'a self, key: &'a str) -> ClientFuture<'a, Option<TableRow>>;

    /// Reads, in key order, up to `limit` rows whose keys start with `prefix` and sort after `after`.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: u32,
    ) -> ClientFuture<'a, Vec<TableRow>>;
}
