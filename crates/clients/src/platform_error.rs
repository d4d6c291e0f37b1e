use snafu::Snafu;

/// A failed call to an outside system, classified by what it says about the effect of the call.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PlatformError {
    /// No byte of the request was sent, so it had no effect.
    #[snafu(display("{system} can't be reached: {detail}; check its address and that it runs"))]
    Unreachable {
        /// The name of the system.
        system: &'static str,
        /// The error of the transport.
        detail: String,
    },
    /// The answer was lost, so the request may have had its effect.
    #[snafu(display("the answer of {system} was lost: {detail}; read the state back"))]
    Indeterminate {
        /// The name of the system.
        system: &'static str,
        /// The error of the transport.
        detail: String,
    },
    /// The system received the request and rejected it.
    #[snafu(display("{system} refused with status {status}: {detail}; correct the request"))]
    Rejected {
        /// The name of the system.
        system: &'static str,
        /// The HTTP status, or the nearest equivalent of another protocol.
        status: u16,
        /// The body of the answer.
        detail: String,
    },
    /// The answer, or the request to be sent, violates the protocol.
    #[snafu(display("{system} sent an invalid answer: {detail}; check its version"))]
    Invalid {
        /// The name of the system.
        system: &'static str,
        /// The violation of the protocol.
        detail: String,
    },
}
