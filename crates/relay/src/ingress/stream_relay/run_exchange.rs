use std::pin::Pin;

use hyper::body::Incoming;

use super::head_outcome::HeadOutcome;

/// How far the exchange with the first engine of a run has come.
pub(super) enum RunExchange {
    /// The request was sent; the future ends with the head of the response.
    Sent(Pin<Box<dyn Future<Output = HeadOutcome>>>),
    /// The chain serves the request.
    Answering {
        /// Whether the response has a length or chunks; otherwise only the end of its connection ends it.
        is_framed: bool,
        body: Incoming,
    },
}
