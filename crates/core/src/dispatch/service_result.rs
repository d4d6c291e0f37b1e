/// The result of a call to a service, as far as it is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceResult {
    /// The service answered.
    Answered {
        /// The HTTP status of the service.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body of the service's answer, as text.
        body: String,
    },
    /// No byte was sent.
    Unsent,
    /// The answer was lost; the call may have run.
    Lost,
}
