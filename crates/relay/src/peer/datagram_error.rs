use snafu::Snafu;

/// Why a datagram can't be written or read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DatagramError {
    /// It is of another version of the encoding, or empty.
    #[snafu(display("unknown version of the encoding"))]
    UnknownVersion,
    /// The fields are not as expected.
    #[snafu(display("malformed: {source}"))]
    Malformed {
        /// What is wrong.
        source: postcard::Error,
    },
}
