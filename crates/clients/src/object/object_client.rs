use bytes::Bytes;

use crate::ClientFuture;

/// A client of the object store, which holds contents too large for a row of the table service.
pub trait ObjectClient: Send + Sync {
    /// Stores an object under `key`.
    ///
    /// Storing the same content again has no further effect.
    fn put<'a>(&'a self, key: &'a str, content: Bytes) -> ClientFuture<'a, ()>;

    /// Reads the object under `key`, or returns `None` if there is none.
    fn get<'a>(&'a self, key: &'a str) -> ClientFuture<'a, Option<Bytes>>;
}
