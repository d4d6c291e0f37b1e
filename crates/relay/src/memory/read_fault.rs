use snafu::Snafu;

/// The reason for which a body was not read to its end.
#[derive(Debug, Snafu)]
pub enum ReadFault {
    /// The body exceeds its limit.
    #[snafu(display("the body exceeds {max_bytes} bytes"))]
    TooLong {
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// The body was given up because its source takes the most memory.
    #[snafu(display("the body was dropped to free memory"))]
    Ended,
    /// The connection failed.
    #[snafu(display("{detail}"))]
    Broken {
        /// The error of the transport.
        detail: String,
    },
}
