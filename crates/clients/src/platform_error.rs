use snafu::Snafu;

/// A failed call to an outside system, classified by whether the request may have taken effect.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PlatformError {
    /// No byte of the request was sent, so it had no effect.
    #[snafu(display("{system} can't be reached: {detail}; check its address and that it runs"))]
    Unreachable {
        /// The system in words for messages, such as `the engine`.
        system: &'static str,
        /// The error of the connection attempt or of building the request.
        detail: String,
    },
    /// The answer was lost, so the request may have had its effect.
    #[snafu(display(
        "no complete answer from {system}: {detail}; the request may have taken effect, so read the \
         state before you repeat it"
    ))]
    Indeterminate {
        /// The system in words for messages, such as `the engine`.
        system: &'static str,
        /// How the answer was lost: a missed deadline or the error of the connection.
        detail: String,
    },
    /// The system received the request and rejected it.
    #[snafu(display(
        "{system} rejected the request with status {status}: {detail}; correct the request if the \
         status is 4xx, otherwise check {system}"
    ))]
    Rejected {
        /// The system in words for messages, such as `the engine`.
        system: &'static str,
        /// The HTTP status, or the nearest equivalent of another protocol.
        status: u16,
        /// The body of the answer.
        detail: String,
    },
    /// The answer violates the protocol, or no valid request could be formed.
    #[snafu(display("invalid message to or from {system}: {detail}; check its version"))]
    Invalid {
        /// The system in words for messages, such as `the engine`.
        system: &'static str,
        /// The violation of the protocol.
        detail: String,
    },
}
