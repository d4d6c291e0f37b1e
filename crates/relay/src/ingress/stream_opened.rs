use bytes::Bytes;
use hyper::http::response::Parts;

use crate::wire::RefusalKind;

/// What opening a stream led to.
pub(super) enum StreamOpened {
    /// Events are to follow.
    Streaming(Parts),
    /// An engine answered with an error.
    Answered(Parts, Bytes),
    /// The request is refused; its caller may return after the given time, in milliseconds.
    Refused(RefusalKind, Option<u64>),
}
