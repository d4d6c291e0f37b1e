use snafu::Snafu;

/// A failure to get the head of a response, classified by whether the request may have run.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection could be opened, so the request has not run.
    #[snafu(display("can't connect: {detail}"))]
    NotSent {
        /// The error of the transport.
        detail: String,
        /// Whether the host refused the connection because nothing listens at the address.
        is_refused: bool,
    },
    /// The connection failed after the request was sent, so the request may have run.
    #[snafu(display("no answer: {detail}"))]
    Broken {
        /// The error of the transport.
        detail: String,
    },
}
