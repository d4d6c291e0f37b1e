/// The endpoint's process that dispatches a call, as recorded in the row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerIdent {
    /// The name of the endpoint.
    pub name: String,
    /// The internal address of its process.
    pub address: String,
    /// The incarnation of its process.
    pub incarnation: u64,
}
