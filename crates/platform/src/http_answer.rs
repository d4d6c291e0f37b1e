use bytes::Bytes;

/// An answer with its body read to the end.
pub(crate) struct HttpAnswer {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The content type, or an empty text.
    pub(crate) content_type: String,
    /// The whole body.
    pub(crate) body: Bytes,
}
