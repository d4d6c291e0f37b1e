/// The answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body, or an empty string if the answer has none.
    pub content_type: String,
    /// The body.
    pub body: String,
}
