use serde::Deserialize;
use serde::Serialize;

use crate::ident::EndpointName;
use crate::ident::ServiceName;

/// The configuration of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name of the service, as it appears in `/services/{name}/`.
    pub name: ServiceName,
    /// Whether all calls to the service are idempotent.
    ///
    /// `GET` and `HEAD` calls are always treated as idempotent.
    pub idempotent: bool,
    /// The endpoints that serve the service.
    pub endpoints: Vec<EndpointName>,
    /// The path prefix at which the service reports the outcome of an idempotency key, if it supports
    /// such queries.
    #[serde(default)]
    pub status_path: Option<String>,
}
