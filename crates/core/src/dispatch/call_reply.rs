use serde::Deserialize;
use serde::Serialize;

use crate::outcome::RefusalReason;
use crate::outcome::RequestOutcome;

/// The answer of an endpoint's process to a [`CallOrder`](super::CallOrder).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallReply {
    /// The service answered, now or at an earlier call with the same key.
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
    /// The endpoint's process has no answer.
    Refused {
        /// What is known about the call.
        outcome: RequestOutcome,
        /// Why there is no answer.
        reason: RefusalReason,
        /// The time after which a retry can succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The attempt is void; the entry continues with a higher attempt.
    Voided,
}
