/// The format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Time, level and message as plain text.
    Text,
}

impl LogFormat {
    /// The values of the setting `log-format`.
    pub(crate) const CHOICES: &[(&str, LogFormat)] =
        &[("json", LogFormat::Json), ("text", LogFormat::Text)];
}
