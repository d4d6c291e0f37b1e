/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ActivityPhase {
    /// No request has begun since the last response.
    Idle,
    /// A part of a request's head has been received.
    Head,
    /// A request is being read or served.
    Request,
}
