use snafu::Snafu;

/// A message that violates the protocol of a deployment.
#[derive(Debug, Snafu)]
#[snafu(display(
    "can't decode the {message}: {detail}; check that its sender follows the protocol"
))]
pub struct DecodeError {
    message: &'static str,
    detail: String,
}

impl DecodeError {
    /// Creates an error about the message `message`, for example "engine report".
    pub fn new(message: &'static str, detail: impl std::fmt::Display) -> DecodeError {
        DecodeError {
            message,
            detail: detail.to_string(),
        }
    }
}
