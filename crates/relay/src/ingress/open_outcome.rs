use hyper::http::response::Parts;

use crate::memory::BodyPieces;
use crate::memory::HeldBytes;
use crate::wire::RefusalKind;

/// The outcome of sending a model request to chains.
pub(super) enum OpenOutcome {
    /// A chain serves the request; its events follow.
    Streaming(Parts),
    /// A chain has served the request with a whole answer, whose body is charged to the guard.
    Answered(Parts, BodyPieces, HeldBytes),
    /// An engine responded with an error, whose body is charged to the guard.
    ErrorResponse(Parts, BodyPieces, HeldBytes),
    /// The request is refused; the caller may retry after the given time, in milliseconds.
    Refused(RefusalKind, Option<u64>),
}
