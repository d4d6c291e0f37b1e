use serde::Deserialize;
use serde::Serialize;

use crate::ident::AccountName;
use crate::ident::ModelName;
use crate::ident::RequestIdent;

use super::ChainRoute;

/// The order to run a model request along a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrder {
    /// The request.
    pub request: RequestIdent,
    /// The attempt; raised whenever the route changes or the stream is opened again.
    pub attempt: u32,
    /// The client account that pays for the request.
    pub account: AccountName,
    /// The weight of the client account.
    pub weight: u32,
    /// The priority class: 0 is interactive, higher is served later.
    pub priority: u8,
    /// The model.
    pub model: ModelName,
    /// The version of the model.
    pub version: u32,
    /// The fingerprint of the request, as hexadecimal digits.
    pub fingerprint: String,
    /// Whether the request may have crashed an endpoint before.
    pub suspect: bool,
    /// The route.
    pub route: ChainRoute,
    /// The prompt.
    pub prompt: String,
    /// The tokens that the entry has already received, in order.
    pub sent: Vec<String>,
    /// The greatest number of tokens to generate, with the ones already sent.
    pub max_tokens: u32,
    /// The time left until the deadline, in milliseconds, when the message was sent.
    pub deadline_in_ms: u64,
}
