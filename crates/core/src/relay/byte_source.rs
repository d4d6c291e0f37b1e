use std::net::SocketAddr;

/// The party for which, or because of which, a process holds bytes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ByteSource {
    /// The engine, the endpoint or the other process at an address.
    Server(SocketAddr),
    /// A client account by name; empty for requests without an account.
    Account(String),
}

impl ByteSource {
    /// Returns the kind of the source as it appears in metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            ByteSource::Server(_) => "server",
            ByteSource::Account(_) => "account",
        }
    }
}
