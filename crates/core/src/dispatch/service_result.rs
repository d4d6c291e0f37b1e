/// The known result of a call to a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceResult {
    /// The service answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body.
        body: String,
    },
    /// No byte was sent.
    Unsent,
    /// The answer was lost; the call may have run.
    Lost,
}
