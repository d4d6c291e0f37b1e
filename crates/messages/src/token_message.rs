use dandelionroad_core::ident::RequestIdent;
use dandelionroad_core::stream::StopReason;
use serde::Deserialize;
use serde::Serialize;

/// A generated token, sent from the last stage to the head.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenMessage {
    /// The id of the request.
    pub request: RequestIdent,
    /// The number of the attempt, so that the head can ignore tokens of earlier attempts.
    pub attempt: u32,
    /// The position of the token in the answer, starting at 0.
    pub position: u32,
    /// The text of the token.
    pub text: String,
    /// The reason why the answer ends with this token, or `None` if it continues.
    pub end: Option<StopReason>,
}
