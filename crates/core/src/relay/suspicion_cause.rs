/// Why an engine is suspected of being dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspicionCause {
    /// It returned no report in time.
    NoReport,
    /// Another engine reported that its requests wait for it.
    Reported,
}
