use snafu::Snafu;

/// A request that got no head of an answer, by what that proves.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection could be opened, so nothing was sent.
    #[snafu(display("can't connect: {detail}"))]
    NotSent {
        /// What the transport said.
        detail: String,
        /// Whether the host answered that nothing listens there.
        is_refused: bool,
    },
    /// The connection broke after the request was sent; it may have run.
    #[snafu(display("no answer: {detail}"))]
    Broken {
        /// What the transport said.
        detail: String,
    },
}
