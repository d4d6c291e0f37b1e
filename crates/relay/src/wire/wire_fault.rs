use snafu::Snafu;

/// Bytes that break the protocol of a deployment.
#[derive(Debug, Snafu)]
#[snafu(display("can't read the {what}: {detail}; check who wrote it"))]
pub struct WireFault {
    what: &'static str,
    detail: String,
}

impl WireFault {
    /// Creates a fault of `what`, for example "engine report".
    pub fn new(what: &'static str, detail: impl std::fmt::Display) -> WireFault {
        WireFault {
            what,
            detail: detail.to_string(),
        }
    }
}
