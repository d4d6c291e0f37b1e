use bytes::Bytes;

/// A call of the store or of an engine, ready to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedCall {
    /// The method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// The body; empty for none.
    pub body: Bytes,
}
