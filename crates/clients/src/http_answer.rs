use bytes::Bytes;
use hyper::HeaderMap;

/// An HTTP answer with its complete body.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The HTTP status of any class, success or error.
    pub status: u16,
    /// The content type, or an empty string if the answer has none.
    pub content_type: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}
