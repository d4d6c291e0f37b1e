/*!
The outcomes of requests that were refused or failed.

Each such answer carries a [`RequestOutcome`], which tells whether the request may have run, and a
[`RefusalReason`], which tells why it ended and what the caller can do.
*/

mod refusal_reason;
mod request_outcome;

pub use self::refusal_reason::RefusalReason;
pub use self::request_outcome::RequestOutcome;
