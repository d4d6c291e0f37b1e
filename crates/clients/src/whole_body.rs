use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;

/// The maximum size of an answer that is read as a whole, in bytes.
///
/// Pages of the table service and objects are smaller. Without a limit, an answer without end fills the
/// memory of the process until the deadline.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Reads a body to its end.
///
/// # Errors
///
/// Returns a message if the body breaks off or exceeds the limit; the connection is then closed.
pub(crate) async fn read_whole(body: Incoming) -> Result<Bytes, String> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?;
    Ok(body.to_bytes())
}
