use super::ModelShape;

/// A set of engines or endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayService {
    /// The name by which routes and engine records refer to the service.
    pub name: String,
    /// The maximum number of connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// The model that the engines run together, or `None` for a plain service.
    pub model: Option<ModelShape>,
}
