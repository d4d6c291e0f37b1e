use serde::Deserialize;
use serde::Serialize;

use crate::ident::AccountName;
use crate::ident::ModelName;
use crate::ident::RequestIdent;

use super::ChainRoute;

/// The order to run a model request along a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrder {
    /// The identifier of the request.
    pub request: RequestIdent,
    /// The attempt, incremented whenever the route changes or the stream is reopened.
    pub attempt: u32,
    /// The client account that the request is charged to.
    pub account: AccountName,
    /// The weight of the client account in fair queuing.
    pub weight: u32,
    /// The priority class: 0 is interactive, higher classes are served later.
    pub priority: u8,
    /// The model to run.
    pub model: ModelName,
    /// The version of the model.
    pub version: u32,
    /// The fingerprint of the request, as hexadecimal digits.
    pub fingerprint: String,
    /// Whether the request may have crashed an endpoint before.
    pub suspect: bool,
    /// The chain of stages to run the request on.
    pub route: ChainRoute,
    /// The text of the prompt.
    pub prompt: String,
    /// The tokens that the entry has received so far, in order.
    pub sent: Vec<String>,
    /// The maximum number of tokens of the answer, including those in `sent`.
    pub max_tokens: u32,
    /// The time from sending the message to the deadline, in milliseconds.
    pub deadline_in_ms: u64,
}
