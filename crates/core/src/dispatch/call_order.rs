use serde::Deserialize;
use serde::Serialize;

use crate::ident::AccountName;
use crate::ident::RequestIdent;
use crate::ident::ServiceName;

use super::RowKey;

/// An order to call a plain service, as an entry sends it to an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallOrder {
    /// The identifier of the request.
    pub request: RequestIdent,
    /// The client account to which the call is charged.
    pub account: AccountName,
    /// The weight of the client account.
    pub weight: u32,
    /// The priority class; 0 is interactive, higher ones are served later.
    pub priority: u8,
    /// The service to call.
    pub service: ServiceName,
    /// The HTTP method of the call to the service.
    pub method: String,
    /// The path and query behind `/services/{service}`, starting with `/`.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The body as text.
    pub body: String,
    /// The row of a call that is not idempotent; `None` for an idempotent one.
    pub row: Option<RowKey>,
    /// The fingerprint of method, path and body.
    pub fingerprint: String,
    /// The time from sending the message to the deadline, in milliseconds.
    pub deadline_in_ms: u64,
}
