use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::stream::StopReason;
use serde::Deserialize;
use serde::Serialize;

/// A token on its way from the last stage to the head.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenMessage {
    /// The request.
    pub request: RequestIdent,
    /// The attempt.
    pub attempt: u32,
    /// The position of the token; the first one is 0.
    pub position: u32,
    /// The text of the token.
    pub text: String,
    /// Set when the model ended its answer with this token.
    pub end: Option<StopReason>,
}
