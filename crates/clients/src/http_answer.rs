use bytes::Bytes;

/// An answer with its body read to the end.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, or an empty text.
    pub content_type: String,
    /// The whole body.
    pub body: Bytes,
}
