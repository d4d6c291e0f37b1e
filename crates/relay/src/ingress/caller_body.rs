use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendTimeoutError;
use tokio_stream::wrappers::ReceiverStream;

use crate::memory::BodyPieces;
use crate::memory::HeldBody;
use crate::memory::HeldBytes;

use super::send_fault::SendFault;

/// The body of a response to a caller.
///
/// An error closes the connection, so that the caller sees a truncated response.
pub(super) type CallerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// The number of pieces that are buffered for a caller that reads slowly.
const PIECE_QUEUE_CAPACITY: usize = 16;

/// Returns a body that is known in full.
pub(super) fn full_body(bytes: Bytes) -> CallerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a whole body that stays charged until the caller has read it.
pub(super) fn held_body(pieces: BodyPieces, held: HeldBytes) -> CallerBody {
    HeldBody::new(pieces, held).boxed_unsync()
}

/// Returns a body that is streamed from a channel, with its sending side.
///
/// The body ends regularly only after [`CallerStream::finish`]. If the sending side is dropped before, the
/// caller sees a truncated response, whatever the reason.
pub(super) fn channel_body() -> (CallerStream, CallerBody) {
    let (sender, receiver) = mpsc::channel(PIECE_QUEUE_CAPACITY);
    let is_finished = Arc::new(AtomicBool::new(false));
    let has_finished = Arc::clone(&is_finished);
    let pieces = ReceiverStream::new(receiver).map(|piece| Ok(Frame::data(piece)));
    let end = futures_util::stream::once(async move {
        match has_finished.load(Ordering::Relaxed) {
            true => None,
            false => Some(Err(std::io::Error::other(
                "the stream broke off and can't be resumed",
            ))),
        }
    });
    let end = end.filter_map(std::future::ready);
    let body = StreamBody::new(pieces.chain(end)).boxed_unsync();
    let stream = CallerStream {
        sender,
        is_finished,
    };
    (stream, body)
}

/// The sending side of a streamed response.
#[derive(Debug)]
pub(super) struct CallerStream {
    sender: mpsc::Sender<Bytes>,
    is_finished: Arc<AtomicBool>,
}

impl CallerStream {
    /// Sends a piece, waiting for `wait_ms` at most until the caller has read earlier ones.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the piece was not sent.
    pub(super) async fn send(&self, piece: Bytes, wait_ms: u64) -> Result<(), SendFault> {
        let wait = Duration::from_millis(wait_ms);
        let sent = self.sender.send_timeout(piece, wait).await;
        sent.map_err(|error| match error {
            SendTimeoutError::Timeout(_) => SendFault::Stalled,
            SendTimeoutError::Closed(_) => SendFault::Closed,
        })
    }

    /// Waits until the caller has disconnected.
    pub(super) async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Marks the response as complete.
    pub(super) fn finish(&self) {
        self.is_finished.store(true, Ordering::Relaxed);
    }
}
