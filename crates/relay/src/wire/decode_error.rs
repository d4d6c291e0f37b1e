use snafu::Snafu;

/// Bytes that break the protocol of a deployment.
#[derive(Debug, Snafu)]
#[snafu(display("can't read the {what}: {detail}; check who wrote it"))]
pub struct DecodeError {
    what: &'static str,
    detail: String,
}

impl DecodeError {
    /// Creates a fault of `what`, for example "engine report".
    pub fn new(what: &'static str, detail: impl std::fmt::Display) -> DecodeError {
        DecodeError {
            what,
            detail: detail.to_string(),
        }
    }
}
