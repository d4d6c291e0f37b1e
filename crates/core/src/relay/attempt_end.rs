/// How one attempt of a request at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The endpoint reported that it did not run the request.
    Rejected,
    /// The endpoint answered that the request failed.
    Failed,
    /// The connection broke, or the answer was incomplete or late; the request may have run.
    Broken,
}

impl AttemptEnd {
    /// Returns the text for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            AttemptEnd::NotSent => "not sent",
            AttemptEnd::Rejected => "rejected",
            AttemptEnd::Failed => "failed",
            AttemptEnd::Broken => "broken",
        }
    }
}
