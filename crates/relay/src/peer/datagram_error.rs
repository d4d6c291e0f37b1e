use snafu::Snafu;

/// An error of encoding or decoding a datagram.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DatagramError {
    /// The datagram is empty or has another version of the encoding.
    #[snafu(display(
        "the datagram is empty or its encoding has an unknown version; run the same release in all processes"
    ))]
    UnknownVersion,
    /// The fields don't match the encoding.
    #[snafu(display("malformed datagram: {source}"))]
    Malformed {
        /// The error of the codec.
        source: postcard::Error,
    },
}
