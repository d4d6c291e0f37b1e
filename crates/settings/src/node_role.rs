/// The role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeRole {
    /// Runs beside one engine or plain service and admits, orders and fences its work.
    Endpoint,
    /// Accepts requests from callers and routes them to endpoints.
    Entry,
}
