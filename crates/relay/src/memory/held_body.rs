use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::BodyPieces;
use super::HeldBytes;

/// A whole body that stays charged while it is written.
///
/// A slow reader may take long. If the body is ended meanwhile, its bytes are dropped at once and the connection
/// fails, so that the caller sees a truncated response.
#[derive(Debug)]
pub struct HeldBody {
    held: HeldBytes,
    /// The number of bytes that are not handed out yet.
    left: usize,
}

impl HeldBody {
    /// Creates a body of pieces that are charged to `held`.
    pub fn new(mut pieces: BodyPieces, held: HeldBytes) -> HeldBody {
        pieces.finish();
        let left = pieces.len();
        let mut data = held
            .signal
            .data
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        if !held.is_ended() {
            *data = pieces;
        }
        drop(data);
        HeldBody { held, left }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let signal = &self.held.signal;
        let mut data = signal
            .data
            .lock()
            .unwrap_or_else(|poison| poison.into_inner());
        let Some(piece) = data.pop() else {
            let error = io::Error::other("the answer was dropped to free memory");
            return Poll::Ready(Some(Err(error)));
        };
        let left = data.len();
        drop(data);
        // An ended body has no further pieces.
        let _ = self.held.resize(left);
        self.left -= piece.len();
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
