use hyper::http::response::Parts;

use crate::memory::BodyPieces;
use crate::memory::HeldBytes;
use crate::wire::RefusalKind;

/// The outcome of opening a stream.
pub(super) enum OpenOutcome {
    /// A chain serves the request; its events follow.
    Streaming(Parts),
    /// An engine responded with an error, whose body is charged to the guard.
    ErrorResponse(Parts, BodyPieces, HeldBytes),
    /// The request is refused; the caller may retry after the given time, in milliseconds.
    Refused(RefusalKind, Option<u64>),
}
