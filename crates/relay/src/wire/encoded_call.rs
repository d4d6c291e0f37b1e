use bytes::Bytes;
use hyper::HeaderMap;

/// An HTTP request to the store or to an engine, encoded for the wire.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedCall {
    /// The HTTP method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// The headers besides those that HTTP requires for the body.
    pub headers: HeaderMap,
    /// The JSON body; empty if there is none.
    pub body: Bytes,
}
