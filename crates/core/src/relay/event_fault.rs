use snafu::Snafu;

/// The reason for which the bytes of an event stream are not passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum EventFault {
    /// An event does not follow its predecessor.
    #[snafu(display("event {id} does not follow its predecessor"))]
    OutOfOrder {
        /// The identifier of the event.
        id: u64,
    },
    /// The bytes are no event, or an event without an identifier where a stream is resumed.
    #[snafu(display("malformed event"))]
    Malformed,
    /// Too many bytes arrived without an event that carries data.
    #[snafu(display("too many bytes without an event"))]
    TooLong,
}
