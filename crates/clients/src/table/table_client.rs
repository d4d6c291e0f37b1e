use crate::ClientFuture;

use super::CommitReply;
use super::TableCommit;
use super::TableRow;

/// A client of the table service.
///
/// Every method fails with [`PlatformError`](crate::PlatformError) after the client's deadline.
/// Only `commit` can be indeterminate; reads are repeated at will.
pub trait TableClient: Send + Sync {
    /// Applies a transaction.
    fn commit<'a>(&'a self, commit: &'a TableCommit) -> ClientFuture<'a, CommitReply>;

    /// Reads a row.
    fn read<'a>(&'a self, key: &'a str) -> ClientFuture<'a, Option<TableRow>>;

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`, in key order.
    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: u32,
    ) -> ClientFuture<'a, Vec<TableRow>>;
}
