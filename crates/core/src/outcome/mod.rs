/*!
The outcomes that a caller can be told when its request has no ordinary answer.
*/

mod refusal_reason;
mod request_outcome;

pub use self::refusal_reason::RefusalReason;
pub use self::request_outcome::RequestOutcome;
