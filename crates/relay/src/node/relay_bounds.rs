/// The settings of a process that may change while it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayBounds {
    /// The greatest age of the configuration with which keys are accepted, in milliseconds.
    pub key_age_ms: u64,
    /// The time between two reads of the list of engines, in milliseconds.
    pub list_interval_ms: u64,
    /// Retries of all processes together, as a share of the requests, in percent.
    pub retry_percent: u32,
    /// Retries of all processes together that are allowed beside that share, in each window.
    pub retry_slack: u32,
    /// The time between the signal to stop and the end of the process, in milliseconds.
    pub grace_ms: u64,
}
