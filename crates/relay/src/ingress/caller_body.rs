use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::http::response::Parts;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::node::NodeState;

/// The body of an answer to a caller; an error cuts the connection, so that the answer looks cut.
pub(super) type CallerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Pieces of a stream that wait for a caller who reads slowly.
const QUEUED_PIECES: usize = 16;

/// Returns an engine's answer as the caller gets it.
pub(super) fn caller_response(
    state: &NodeState,
    parts: &Parts,
    body: CallerBody,
) -> Response<CallerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = state.format.caller_response_headers(&parts.headers);
    response
}

/// Returns a body of known bytes.
pub(super) fn full_body(bytes: Bytes) -> CallerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that is written piece by piece, and where to send the pieces.
pub(super) fn piece_body() -> (mpsc::Sender<Result<Bytes, std::io::Error>>, CallerBody) {
    let (sender, receiver) = mpsc::channel(QUEUED_PIECES);
    let frames =
        ReceiverStream::new(receiver).map(|piece: Result<Bytes, _>| piece.map(Frame::data));
    (sender, StreamBody::new(frames).boxed_unsync())
}
