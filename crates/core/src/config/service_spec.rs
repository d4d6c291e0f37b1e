use serde::Deserialize;
use serde::Serialize;

use crate::ident::EndpointName;
use crate::ident::ServiceName;

/// The state of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name of the service, as it appears in `/services/{name}/`.
    pub name: ServiceName,
    /// Whether every call to the service may be repeated without harm.
    ///
    /// `GET` and `HEAD` calls are idempotent whatever this field says.
    pub idempotent: bool,
    /// The endpoints that serve the service.
    pub endpoints: Vec<EndpointName>,
    /// The path prefix at which the service tells the outcome of a key, if it can be asked.
    #[serde(default)]
    pub status_path: Option<String>,
}
