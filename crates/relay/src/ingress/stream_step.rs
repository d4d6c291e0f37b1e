use bytes::Bytes;

/// What an endpoint of a plain service has sent next in a stream.
pub(super) enum StreamStep {
    /// Complete events.
    Events(Bytes),
    /// The regular end.
    End,
    /// A stream that is not whole, for a cause as it appears in logs and metrics.
    Cut(&'static str),
}
