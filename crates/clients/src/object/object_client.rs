use bytes::Bytes;

use crate::ClientFuture;

/// A client of the object store.
pub trait ObjectClient: Send + Sync {
    /// Stores an object under `key`; a repeat with the same content has no further effect.
    fn put<'a>(&'a self, key: &'a str, content: Bytes) -> ClientFuture<'a, ()>;

    /// Reads the object `key`.
    fn get<'a>(&'a self, key: &'a str) -> ClientFuture<'a, Option<Bytes>>;
}
