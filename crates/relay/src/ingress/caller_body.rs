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

/// The body of a response to a caller.
///
/// An error closes the connection, so that the caller sees a truncated response.
pub(super) type CallerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// The number of pieces that are buffered for a caller that reads slowly.
const PIECE_QUEUE_CAPACITY: usize = 16;

/// Builds the response to the caller from the head of an engine's response.
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

/// Returns a body that is known in full.
pub(super) fn full_body(bytes: Bytes) -> CallerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that is streamed from a channel, with the channel's sender.
pub(super) fn channel_body() -> (mpsc::Sender<Result<Bytes, std::io::Error>>, CallerBody) {
    let (sender, receiver) = mpsc::channel(PIECE_QUEUE_CAPACITY);
    let frames =
        ReceiverStream::new(receiver).map(|piece: Result<Bytes, _>| piece.map(Frame::data));
    (sender, StreamBody::new(frames).boxed_unsync())
}
