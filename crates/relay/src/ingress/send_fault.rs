/// The reason for which a piece of a response was not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SendFault {
    /// The caller has disconnected.
    Closed,
    /// The caller has not read the pieces before this one in time.
    Stalled,
}
