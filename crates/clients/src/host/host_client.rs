use crate::ClientFuture;

use super::HostEntry;

/// A client of the platform's host list.
pub trait HostClient: Send + Sync {
    /// Reads the host list, which may be out of date.
    fn list(&self) -> ClientFuture<'_, Vec<HostEntry>>;
}
