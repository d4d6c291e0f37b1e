use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::HeldBytes;
use super::ReadFault;

/// Reads a body to its end, charged to `held`.
///
/// Dropping the future closes the connection.
///
/// # Errors
///
/// Returns an error if the body breaks off, exceeds `max_bytes` or is ended by the budget.
pub async fn read_bounded(
    mut body: Incoming,
    max_bytes: usize,
    held: &HeldBytes,
) -> Result<Bytes, ReadFault> {
    let mut buffer = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = held.ended() => return Err(ReadFault::Ended),
            frame = body.frame() => frame,
        };
        let frame = match frame {
            None => return Ok(Bytes::from(buffer)),
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                let detail = error.to_string();
                return Err(ReadFault::Broken { detail });
            }
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.len() > max_bytes - buffer.len() {
            return Err(ReadFault::TooLong { max_bytes });
        }
        let length = buffer.len() + data.len();
        if length > buffer.capacity() {
            let capacity = length.max(buffer.capacity() * 2).min(max_bytes);
            if !held.resize(capacity) {
                return Err(ReadFault::Ended);
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
}
