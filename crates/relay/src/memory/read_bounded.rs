use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;

use super::BodyPieces;
use super::HeldBytes;
use super::ReadFault;

/// Reads a body to its end, charged to `held`.
///
/// Dropping the future closes the connection.
///
/// # Errors
///
/// Returns an error if the body breaks off, exceeds `max_bytes` or is ended by the budget.
pub async fn read_bounded<B>(
    mut body: B,
    max_bytes: usize,
    held: &HeldBytes,
) -> Result<BodyPieces, ReadFault>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut pieces = BodyPieces::default();
    let mut charged = 0;
    loop {
        let frame = poll_fn(|context| match Pin::new(&mut body).poll_frame(context) {
            Poll::Ready(frame) => Poll::Ready(Ok(frame)),
            Poll::Pending => held.poll_ended(context).map(|()| Err(ReadFault::Ended)),
        });
        let frame = match frame.await? {
            None => return Ok(pieces),
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                let detail = error.to_string();
                return Err(ReadFault::Broken { detail });
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.len() > max_bytes - pieces.len() {
            return Err(ReadFault::TooLong { max_bytes });
        }
        // A body may come in chunks of a few bytes, most of which change nothing in the budget.
        let capacity = pieces.capacity_with(data.len());
        let is_open = match capacity == charged {
            true => !held.is_ended(),
            false => held.resize(capacity),
        };
        if !is_open {
            return Err(ReadFault::Ended);
        }
        charged = capacity;
        pieces.push(&data);
    }
}
