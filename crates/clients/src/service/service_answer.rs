/// The answer of a plain service, read completely.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// The HTTP status; an answer with an error status is returned like any other.
    pub status: u16,
    /// The content type of the body, or an empty string if the answer has none.
    pub content_type: String,
    /// The complete body, with invalid UTF-8 replaced by U+FFFD.
    pub body: String,
}
