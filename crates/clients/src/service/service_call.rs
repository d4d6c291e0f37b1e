/// A call to a plain service, as its endpoint sends it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceCall {
    /// The HTTP method, such as `POST`.
    pub method: String,
    /// The path and query, starting with `/`.
    pub path: String,
    /// The content type of the body, or an empty string to send none.
    pub content_type: String,
    /// The body, which may be empty.
    pub body: String,
    /// The idempotency key, which is forwarded to the service.
    pub key: Option<String>,
    /// The fencing token of the endpoint that makes the call; some services check it, others ignore it.
    pub fence: u64,
}
