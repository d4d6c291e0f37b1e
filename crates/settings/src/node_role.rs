/// The role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeRole {
    /// Runs beside one engine or plain service: queues requests, has the engine load its layers and
    /// sends a fencing token with each order to the engine or call to the service.
    Endpoint,
    /// Accepts requests from callers and routes them to endpoints.
    Entry,
}
