use snafu::Snafu;

/// A failure of an outside system, by what it proves.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum PlatformError {
    /// No byte of the request was sent, so it had no effect.
    #[snafu(display("{system} can't be reached: {detail}; check its address and that it runs"))]
    Unreachable {
        /// Which system.
        system: &'static str,
        /// What the transport said.
        detail: String,
    },
    /// The answer was lost, so the request may have had its effect.
    #[snafu(display("the answer of {system} was lost: {detail}; read the state back"))]
    Indeterminate {
        /// Which system.
        system: &'static str,
        /// What the transport said.
        detail: String,
    },
    /// The system answered that it won't do it.
    #[snafu(display("{system} refused with status {status}: {detail}; correct the request"))]
    Rejected {
        /// Which system.
        system: &'static str,
        /// The HTTP status, or the nearest equivalent.
        status: u16,
        /// What the system said.
        detail: String,
    },
    /// The answer breaks the protocol.
    #[snafu(display("{system} sent an invalid answer: {detail}; check its version"))]
    Invalid {
        /// Which system.
        system: &'static str,
        /// What is wrong with the answer.
        detail: String,
    },
}
