use serde::Deserialize;
use serde::Serialize;

use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;

/// The reply of an endpoint's process to a [`CallOrder`](super::CallOrder).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallReply {
    /// The service answered, to this call or to an earlier one with the same key.
    Answered {
        /// The HTTP status of the service.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body as text.
        body: String,
        /// Whether the answer comes from the record of an earlier call.
        replayed: bool,
    },
    /// The endpoint's process refuses the call.
    Refused {
        /// Whether the call ran, as far as the endpoint knows.
        outcome: RequestOutcome,
        /// The reason for the refusal.
        reason: RefusalReason,
        /// The time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The attempt is void; the entry continues with the next attempt.
    Voided,
}
