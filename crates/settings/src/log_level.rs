/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Every decision about every request.
    Debug,
    /// Changes of state on which an operator has to act.
    Error,
    /// Starts, stops, changes of members and configuration, refused requests.
    Info,
    /// Faults that the system handles itself.
    Warn,
}

impl LogLevel {
    /// The values of the setting `log-level`.
    pub(crate) const CHOICES: &[(&str, LogLevel)] = &[
        ("debug", LogLevel::Debug),
        ("info", LogLevel::Info),
        ("warn", LogLevel::Warn),
        ("error", LogLevel::Error),
    ];
}
