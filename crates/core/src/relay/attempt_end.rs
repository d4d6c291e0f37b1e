/// How one attempt of a request at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// Nothing was sent: no connection could be opened.
    NotSent,
    /// The endpoint said that it did not run the request.
    Rejected,
    /// The endpoint answered that the request failed.
    Failed,
    /// The connection broke, the answer was not whole or none came in time; it may have run.
    Broken,
}

impl AttemptEnd {
    /// Returns the end as it appears in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            AttemptEnd::NotSent => "not sent",
            AttemptEnd::Rejected => "rejected",
            AttemptEnd::Failed => "failed",
            AttemptEnd::Broken => "broken",
        }
    }
}
