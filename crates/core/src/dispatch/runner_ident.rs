/// The runner of an attempt: the endpoint's process that sends the call to the service.
///
/// It is recorded in the dispatched row, so that entries can query it for the state of the attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerIdent {
    /// The name of the endpoint.
    pub name: String,
    /// The internal address of its process.
    pub address: String,
    /// The incarnation of its process.
    pub incarnation: u64,
}
