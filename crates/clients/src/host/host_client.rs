use crate::ClientFuture;

use super::HostEntry;

/// A client of the host list.
pub trait HostClient: Send + Sync {
    /// Reads the list, which may be out of date.
    fn list(&self) -> ClientFuture<'_, Vec<HostEntry>>;
}
