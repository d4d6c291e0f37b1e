/// The role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeRole {
    /// Beside one engine or plain service.
    Endpoint,
    /// On an entry host, towards callers.
    Entry,
}
